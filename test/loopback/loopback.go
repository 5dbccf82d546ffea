// Package loopback gives tests hosts of their own, so that the programs of two test
// runs on one machine can't take each other's ports.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// firstNet is the first second byte that is given away, netCount how many there are.
	firstNet, netCount = 16, 200
	// shares is into how many parts the third byte is divided, one a process.
	shares = 16
	// hostsPerNet is how many last bytes are used.
	hostsPerNet = 250
)

// given counts the hosts given away by this process.
var given atomic.Int64

// NewHost returns an address of the loopback net that no other process of the
// machine was given, unless their numbers are equal modulo netCount * shares.
// Outgoing connections come from 127.0.0.1, so they take no port there.
func NewHost() string {
	number, process := int(given.Add(1))-1, os.Getpid()
	net := (process / netCount % shares * shares) + number/hostsPerNet%shares
	return fmt.Sprintf("127.%d.%d.%d", firstNet+process%netCount, net, number%hostsPerNet+1)
}
