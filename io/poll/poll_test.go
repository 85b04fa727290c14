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

// source is a platform with the means to change what it publishes.
type source struct {
	poll.Source
	publish func(text string)
}

// sources returns one of each implementation.
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

// TestWatch reads at once, waits for a change and ends with its context.
func TestWatch(t *testing.T) {
	for name, s := range sources(t) {
		t.Run(name, func(t *testing.T) {
			one, err := s.Configuration(t.Context(), "")
			if err != nil || string(one.Body) != "one" {
				t.Fatalf("got %q, %v", one.Body, err)
			}
			list, err := s.Instances(t.Context(), "")
			if err != nil || string(list.Body) != "list" {
				t.Fatalf("got %q, %v", list.Body, err)
			}
			time.AfterFunc(20*time.Millisecond, func() { s.publish("two") })
			two, err := s.Configuration(t.Context(), one.Tag)
			if err != nil || string(two.Body) != "two" || two.Tag == one.Tag {
				t.Fatalf("got %q, %v, tags %q and %q", two.Body, err, one.Tag, two.Tag)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			if _, err := s.Configuration(ctx, two.Tag); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("ended wait: got %v", err)
			}
		})
	}
}

// A file that is being written is empty for a moment; that is no change.
func TestFileBeingWritten(t *testing.T) {
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
		t.Errorf("got %q, %v", two.Body, err)
	}
}

// TestFailures tells a failed read from an unchanged value.
func TestFailures(t *testing.T) {
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
		t.Errorf("status 304: got %v", err)
	}
	for _, status = range []int{http.StatusServiceUnavailable, http.StatusOK} {
		if _, err := h.Configuration(t.Context(), "x"); err == nil || errors.Is(err, poll.ErrUnchanged) {
			t.Errorf("status %d: got %v", status, err)
		}
	}
	f := poll.NewFile("no-such-file", "no-such-file", time.Millisecond)
	if _, err := f.Instances(t.Context(), ""); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: got %v", err)
	}
}
