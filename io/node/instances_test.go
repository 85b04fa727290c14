package node_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcupstand/core/conf"
	"kingcupstand/internal/stand"
	"kingcupstand/io/link"
	"kingcupstand/io/node"
	"kingcupstand/io/poll"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
)

// Guards against entries and agents that stop following the instance list, or start without one, while
// one of its instances is odd.
func TestOddInstanceStopsNoProcess(t *testing.T) {
	list := func(names ...string) []byte {
		return []byte(`instances: [{name: odd, role: agent, peer: "192.0.2.1:99999", state: live}, ` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) +
			`, {name: ` + strings.Join(names, `, role: agent, peer: "192.0.2.1:1", state: live}, {name: `) + `, role: agent, peer: "192.0.2.1:1", state: live}]`)
	}
	p := stand.NewPlatform(nil, list("a"))
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	c := &spec.Settings{Name: "a"}
	m, err := telem.New(io.Discard, c.Name, c)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan int, 100)
	n, err := node.New(c, m, poll.NewHTTP(s.URL, &http.Client{}), link.New(nil), node.Hooks{
		Config: func(*conf.Config) {}, Instances: func(l []*spec.Instance) { got <- len(l) },
	})
	if err != nil {
		t.Fatal(err)
	}
	go n.Run(t.Context())
	for want := 1; want <= 3; want++ {
		select {
		case v := <-got:
			if v != want {
				t.Errorf("got %d instances, want %d", v, want)
			}
		case <-time.After(8 * time.Second):
			t.Fatalf("a list with %d sound instances isn't applied", want)
		}
		p.Publish(stand.InstanceList, list([]string{"a", "b", "c", "d"}[:want+1]...))
	}
}

// Guards against processes that read a platform without a pause, as its answers have no ETag, or the one that
// they have already.
func TestPlatformWithoutTagsIsReadWithPauses(t *testing.T) {
	for name, tag := range map[string]string{"none": "", "always the same": `"x"`, "unchanged at once": "304"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) > 2 && tag == "304" {
					w.WriteHeader(http.StatusNotModified)
					return
				}
				if tag != "" {
					w.Header().Set("ETag", tag)
				}
				_, _ = io.WriteString(w, "instances: []")
			}))
			t.Cleanup(s.Close)
			c := &spec.Settings{Name: "a"}
			m, err := telem.New(io.Discard, c.Name, c)
			if err != nil {
				t.Fatal(err)
			}
			n, err := node.New(c, m, poll.NewHTTP(s.URL, &http.Client{}), link.New(nil), node.Hooks{
				Config: func(*conf.Config) {}, Instances: func([]*spec.Instance) {},
			})
			if err != nil {
				t.Fatal(err)
			}
			go n.Run(t.Context())
			time.Sleep(1500 * time.Millisecond)
			if v := calls.Load(); v < 2 || v > 8 {
				t.Errorf("%d calls in 1.5 s, want up to 4 for each value", v)
			}
		})
	}
}
