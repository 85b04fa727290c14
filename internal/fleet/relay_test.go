package fleet_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"kingcupstand/internal/fleet"
)

// Guards against a fault of the network that ends an answer without length as its target would end it,
// which no reader can tell from the whole answer.
func TestOnlyTargetsEndConnectionsInOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*fleet.Relay, *net.TCPConn)
		want  error
	}{
		{"cut", func(r *fleet.Relay, _ *net.TCPConn) { r.Cut() }, syscall.ECONNRESET},
		{"frozen, then cut", func(r *fleet.Relay, _ *net.TCPConn) { r.Freeze(); r.Cut() }, syscall.ECONNRESET},
		{"reset", func(r *fleet.Relay, _ *net.TCPConn) { r.Reset() }, syscall.ECONNRESET},
		{"target resets", func(_ *fleet.Relay, target *net.TCPConn) { _ = target.SetLinger(0); _ = target.Close() }, syscall.ECONNRESET},
		{"target ends", func(_ *fleet.Relay, target *net.TCPConn) { _ = target.Close() }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			r, err := fleet.NewRelay(l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			caller, err := net.Dial("tcp4", r.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			target, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer target.Close()
			_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(target, "half"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(caller, make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			c.fault(r, target)
			if _, err := io.Copy(io.Discard, caller); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
