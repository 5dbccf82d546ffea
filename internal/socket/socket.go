// Package socket opens TCP connections that fail within seconds when their other
// end is out of reach, whether something is under way on them or not.
package socket

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAlivePeriod and keepAliveCount find connections that went silent while
	// nothing is under way.
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	// unacknowledged bounds the time that sent bytes may stay unacknowledged.
	unacknowledged = 2 * time.Second
)

// Dialer opens connections. The zero value works.
type Dialer struct{}

// Dial connects to an IPv4 address until ctx ends.
func (Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount,
	}}
	opened, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	boundUnacknowledged(opened)
	return opened, nil
}

func boundUnacknowledged(opened net.Conn) {
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}
