package poll_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"kingcupstand/internal/stand"
	"kingcupstand/io/poll"
)

// source is a Source whose configuration can be changed.
type source struct {
	poll.Source
	publish func(text string)
}

// sources returns a source of each implementation, by name.
func sources(t *testing.T) map[string]source {
	t.Helper()
	p := stand.NewPlatform([]byte("one"), []byte("list"))
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	d := t.TempDir()
	file := filepath.Join(d, "configuration.yaml")
	list := filepath.Join(d, "instances.yaml")
	write := func(f, text string) {
		if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file, "one")
	write(list, "list")
	return map[string]source{
		"http": {poll.NewHTTP(s.URL, &http.Client{}), func(text string) { p.Publish(stand.Configuration, []byte(text)) }},
		"file": {poll.NewFile(file, list, time.Millisecond), func(text string) { write(file, text) }},
	}
}

// A read without a tag returns at once; one with a tag waits for a change, and ends with
// its context.
func TestReadWaitsForChange(t *testing.T) {
	for name, s := range sources(t) {
		t.Run(name, func(t *testing.T) {
			one, err := s.Configuration(t.Context(), "")
			if err != nil || string(one.Body) != "one" {
				t.Fatalf("first configuration: got %q, %v, want \"one\"", one.Body, err)
			}
			list, err := s.Instances(t.Context(), "")
			if err != nil || string(list.Body) != "list" {
				t.Fatalf("instance list: got %q, %v, want \"list\"", list.Body, err)
			}
			time.AfterFunc(20*time.Millisecond, func() { s.publish("two") })
			two, err := s.Configuration(t.Context(), one.Tag)
			if err != nil || string(two.Body) != "two" || two.Tag == one.Tag {
				t.Fatalf("changed configuration: got %q, %v, want \"two\"; tags %q and %q", two.Body, err, one.Tag, two.Tag)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			if _, err := s.Configuration(ctx, two.Tag); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("wait with expired context: got %v, want deadline exceeded", err)
			}
		})
	}
}

// A file that is being rewritten is empty for a moment, which must not count as a change.
func TestFileIgnoresEmptyWhileRewritten(t *testing.T) {
	file := filepath.Join(t.TempDir(), "configuration.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
	}
	write("one")
	s := poll.NewFile(file, file, time.Millisecond)
	one, err := s.Configuration(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	write("")
	time.AfterFunc(30*time.Millisecond, func() { write("two") })
	if two, err := s.Configuration(t.Context(), one.Tag); err != nil || string(two.Body) != "two" {
		t.Errorf("got %q, %v, want \"two\"", two.Body, err)
	}
}

// A failed read must not look like an unchanged value.
func TestReadErrors(t *testing.T) {
	status := http.StatusNotModified
	body := make([]byte, 2<<20)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if status == http.StatusOK {
			_, _ = w.Write(body)
		}
	}))
	t.Cleanup(s.Close)
	h := poll.NewHTTP(s.URL, &http.Client{})
	if _, err := h.Configuration(t.Context(), "x"); !errors.Is(err, poll.ErrUnchanged) {
		t.Errorf("status 304: got %v, want ErrUnchanged", err)
	}
	for _, status = range []int{http.StatusServiceUnavailable, http.StatusOK} {
		if _, err := h.Configuration(t.Context(), "x"); err == nil || errors.Is(err, poll.ErrUnchanged) {
			t.Errorf("status %d: got %v, want an error other than ErrUnchanged", status, err)
		}
	}
	f := poll.NewFile("no-such-file", "no-such-file", time.Millisecond)
	if _, err := f.Instances(t.Context(), ""); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: got %v, want ErrNotExist", err)
	}
}
