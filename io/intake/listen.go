package intake

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer is the size in bytes of a connection's receive buffer. The kernel takes as much again for
	// its own use.
	receiveBuffer = 16 << 10
	// unreadMemory is the part of the process's memory that is for what is received on connections that
	// wait to be accepted, as a divisor; at least minBacklog may wait.
	unreadMemory = 16
	minBacklog   = 128
)

// Listener returns a listener that accepts as many connections as the limits allow at a time. Further ones wait:
// closing them would ignore the ranks of their requests. It bounds what the kernel receives for connections
// that are not read. An error means that this has failed; the listener works all the same.
func (i *Intake) Listener(n net.Listener) (net.Listener, error) {
	err := i.boundBuffers(n)
	if i.conns.limit > 0 {
		n = netutil.LimitListener(n, i.conns.limit)
	}
	return n, err
}

// boundBuffers sets the receive buffer, which accepted connections inherit, and the length of the queue.
func (i *Intake) boundBuffers(n net.Listener) error {
	s, ok := n.(syscall.Conn)
	if !ok || i.limits.Memory == 0 {
		return nil
	}
	c, err := s.SyscallConn()
	if err != nil {
		return fmt.Errorf("bound receive buffers: %w", err)
	}
	var inner error
	err = c.Control(func(fd uintptr) {
		inner = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.Listen(int(fd), max(minBacklog, int(i.limits.Memory/unreadMemory/receiveBuffer))),
		)
	})
	if err = errors.Join(err, inner); err != nil {
		return fmt.Errorf("bound receive buffers: %w", err)
	}
	return nil
}
