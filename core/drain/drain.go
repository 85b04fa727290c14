// Package drain holds the data centres that operators have asked to be drained: their
// targets get no new requests until the operator withdraws the drain.
//
// Each change of a drain has a stamp: the era of the platform's store, which
// rises when the store is restored from an older copy, and the store's revision of the change.
// For each data centre the record with the latest stamp holds, whether it comes from the
// store or from another front. Records of drains that have ended are kept too, so that an
// older one that arrives late can't come into force again.
//
// # Usage
//
//	s := drain.New()
//	s, changed := s.With(drain.Record{DataCentre: "dc-1", Stamp: drain.Stamp{Revision: 812}, Drained: true})
//	s, changed = s.WithList(drain.Stamp{Revision: 840}, nil) // the store's complete list
//	if s.Drained("dc-1") { ... }
package drain

import (
	"cmp"
	"maps"
	"slices"
)

// MaxDataCentres is the largest number of data centres that a Set holds. It bounds the size
// of heartbeats, which carry all records.
const MaxDataCentres = 64

// MaxName is the length in bytes of the longest name of a data centre, for the same reason.
const MaxName = 128

// Stamp orders the changes of drains.
type Stamp struct {
	// Era is the number of times that the store was restored from an older copy.
	Era uint64
	// Revision is the store's revision within the era.
	Revision uint64
}

// Compare returns a negative number if s is earlier than o, and a positive one if it is later.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Era, o.Era), cmp.Compare(s.Revision, o.Revision))
}

// Record is the operator's latest wish for one data centre.
type Record struct {
	DataCentre string
	Stamp
	// Drained is false if the drain was withdrawn.
	Drained bool
}

// Set is an immutable set of records, at most one for each data centre.
type Set struct {
	records map[string]Record
}

// New returns an empty Set.
func New() Set { return Set{} }

// With returns the Set with a record, and reports whether that differs from s. A record that isn't
// later than the known one for its data centre changes nothing. If the Set is full, one for a
// further data centre replaces the earliest of a drain that has ended; if there is none, it changes
// nothing.
func (s Set) With(r Record) (Set, bool) {
	old, ok := s.records[r.DataCentre]
	if ok && r.Compare(old.Stamp) <= 0 {
		return s, false
	}
	m := maps.Clone(s.records)
	if m == nil {
		m = map[string]Record{}
	}
	if !ok && len(m) >= MaxDataCentres {
		n, found := s.earliestEnded()
		if !found {
			return s, false
		}
		delete(m, n)
	}
	m[r.DataCentre] = r
	return Set{m}, true
}

// earliestEnded returns the data centre with the earliest record of a drain that has ended.
func (s Set) earliestEnded() (name string, found bool) {
	var least Stamp
	for n, r := range s.records {
		if !r.Drained && (!found || r.Compare(least) < 0) {
			name, least, found = n, r.Stamp, true
		}
	}
	return name, found
}

// WithList returns the Set with the store's complete list as of a stamp, and reports whether
// that differs from s. Drains that the list lacks have been withdrawn, unless they are
// later than the list.
func (s Set) WithList(at Stamp, listed []Record) (Set, bool) {
	in := map[string]bool{}
	changed := false
	add := func(r Record) {
		n, ok := s.With(r)
		s, changed = n, changed || ok
	}
	for _, r := range listed {
		in[r.DataCentre] = true
		add(r)
	}
	for n, r := range s.records {
		if r.Drained && !in[n] {
			add(Record{DataCentre: n, Stamp: at})
		}
	}
	return s, changed
}

// Drained reports whether a data centre is to be drained.
func (s Set) Drained(dataCentre string) bool { return s.records[dataCentre].Drained }

// Records returns all records, also those that were withdrawn, sorted by data centre.
func (s Set) Records() []Record {
	rs := slices.Collect(maps.Values(s.records))
	slices.SortFunc(rs, func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return rs
}

// Names returns the names of the data centres to be drained, sorted.
func (s Set) Names() []string {
	var ns []string
	for _, r := range s.Records() {
		if r.Drained {
			ns = append(ns, r.DataCentre)
		}
	}
	return ns
}
