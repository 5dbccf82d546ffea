// Package socket opens TCP connections that fail within seconds when the other end is
// unreachable, whether data is in flight or not.
package socket

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAlivePeriod and keepAliveCount detect an unreachable other end while no data
	// is in flight.
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	// userTimeout bounds the time that sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
)

// Dialer opens connections. The zero value is ready to use.
type Dialer struct{}

// Dial connects to a TCP address over IPv4. It fails when ctx ends before the connection
// is established.
func (Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn)
	return conn, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a TCP connection. It ignores errors.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
