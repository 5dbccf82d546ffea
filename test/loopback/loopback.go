// Package loopback assigns loopback addresses to tests, so that the processes of two
// test runs on one machine can't take each other's ports.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// The second octet of an address is one of secondOctetCount values from
	// firstSecondOctet on, chosen by the process ID.
	firstSecondOctet, secondOctetCount = 16, 200
	// thirdOctetBlocks is the number of blocks into which the values of the third
	// octet are divided, and the size of a block. Each process uses one block.
	thirdOctetBlocks = 16
	// fourthOctetCount is the number of values used for the last octet, from 1 on.
	fourthOctetCount = 250
)

// hostCount is the number of addresses that this process has returned.
var hostCount atomic.Int64

// NewHost returns a loopback address that this process has not returned before, up to
// 4000 addresses, and that no other process of the machine gets, unless their process
// IDs are equal modulo secondOctetCount * thirdOctetBlocks. Outgoing connections
// originate from 127.0.0.1, so they take no port on the address.
func NewHost() string {
	index, pid := int(hostCount.Add(1))-1, os.Getpid()
	thirdOctet := (pid / secondOctetCount % thirdOctetBlocks * thirdOctetBlocks) + index/fourthOctetCount%thirdOctetBlocks
	return fmt.Sprintf("127.%d.%d.%d", firstSecondOctet+pid%secondOctetCount, thirdOctet, index%fourthOctetCount+1)
}
