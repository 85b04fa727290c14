package roster_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"kingcupstand/core/roster"
	"kingcupstand/schema/spec"
)

// oddEntries are edits that make an entry unusable, by name.
var oddEntries = map[string]func(*spec.Replica){
	"no id":                   func(r *spec.Replica) { r.Id = "" },
	"id with a line break":    func(r *spec.Replica) { r.Id = "i-1\r\nX: y" },
	"id with spaces":          func(r *spec.Replica) { r.Id = " i-1" },
	"id too long":             func(r *spec.Replica) { r.Id = strings.Repeat("i", 201) },
	"no service":              func(r *spec.Replica) { r.Service = "" },
	"service too long":        func(r *spec.Replica) { r.Service = strings.Repeat("s", 201) },
	"data centre too long":    func(r *spec.Replica) { r.DataCentre = strings.Repeat("z", 1<<20) },
	"version too long":        func(r *spec.Replica) { r.Version = strings.Repeat("v", 201) },
	"version with a NUL":      func(r *spec.Replica) { r.Version = "v\x00" },
	"no slots":                func(r *spec.Replica) { r.Slots = 0 },
	"too many slots":          func(r *spec.Replica) { r.Slots = math.MaxUint32 },
	"no address":              func(r *spec.Replica) { r.Address = "" },
	"name for an address":     func(r *spec.Replica) { r.Address = "localhost:80" },
	"port 0":                  func(r *spec.Replica) { r.Address = "192.0.2.1:0" },
	"port too large":          func(r *spec.Replica) { r.Address = "192.0.2.1:65536" },
	"zone with a line break":  func(r *spec.Replica) { r.Address = "[::1%\r\nX: y]:80" },
	"zone, mapped":            func(r *spec.Replica) { r.Address = "[::ffff:192.0.2.1%\r\nX: y]:80" },
	"unspecified address":     func(r *spec.Replica) { r.Address = "0.0.0.0:80" },
	"unspecified address, v6": func(r *spec.Replica) { r.Address = "[::]:80" },
	"unspecified, mapped":     func(r *spec.Replica) { r.Address = "[::ffff:0.0.0.0]:80" },
	"multicast address":       func(r *spec.Replica) { r.Address = "224.0.0.1:80" },
	"broadcast address":       func(r *spec.Replica) { r.Address = "255.255.255.255:80" },
}

func soundEntry() *spec.Replica {
	return &spec.Replica{Id: "i-1", Service: "s", Address: "192.0.2.1:80", DataCentre: "z", Version: "v1", Slots: 8}
}

// Guards against entries that requests, heartbeats or log lines can't carry.
func TestOddEntriesAreInvalid(t *testing.T) {
	if err := roster.Check(soundEntry()); err != nil {
		t.Errorf("sound entry: %v", err)
	}
	for name, edit := range oddEntries {
		r := soundEntry()
		edit(r)
		err := roster.Check(r)
		if !errors.Is(err, roster.ErrInvalid) {
			t.Errorf("%s: got error %v, want ErrInvalid", name, err)
		} else if len(err.Error()) > 1000 {
			t.Errorf("%s: the error has %d bytes", name, len(err.Error()))
		}
	}
}
