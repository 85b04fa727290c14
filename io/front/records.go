package front

import (
	"net"
	"time"

	"kingcupstand/core/origin"
	"kingcupstand/core/share"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// targetKeepers is how many keepers beside targets know the streams of one version that a front has in
// progress.
const targetKeepers = 3

// recordsRounds are the times at which records are read that could not be read before, after a front
// knows its first targets, and after it has lost a peer, which may not have reported its last streams
// to other fronts.
var recordsRounds = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond}

// recordReading is the reading of keepers' records.
type recordReading struct {
	// since is when the last peer was lost, and round the next round.
	since time.Duration
	round int
	// read are the targets whose keeper's records were read since then.
	read map[string]bool
}

// restart starts the rounds again.
func (r *recordReading) restart(now time.Duration) {
	*r = recordReading{since: now, read: map[string]bool{}}
}

// reportBegun notes that a stream is in progress, and reports it to keepers beside targets of its
// version. These outlive a loss of all fronts, and no stream can go on where no target of its version
// is left. It doesn't wait for the next heartbeat, as a stream whose caller has got an event may break
// off at any time.
func (f *Front) reportBegun(s *state, id uint64, o origin.Origin) {
	if f.settings.Keepers && s.running.Begin(id, o) {
		f.sendReport(s, origin.Report{Origin: o, Streams: []uint64{id}, To: f.keepersOf(s, o)})
	}
}

// reportRunning sends the complete reports of the streams in progress that are due.
func (f *Front) reportRunning(now time.Duration, s *state) {
	if !f.settings.Keepers {
		return
	}
	for _, r := range s.running.Reports(now, func(o origin.Origin) []string { return f.keepersOf(s, o) }) {
		f.sendReport(s, r)
	}
}

// sendReport sends a report in as many messages as it needs. A complete one replaces what keepers have
// with its first message, to which they add the others.
func (f *Front) sendReport(s *state, r origin.Report) {
	for n := 0; n == 0 || n < len(r.Streams); n += maxReportStreams {
		m := &wire.Beat{
			Peer: f.settings.Peer, Incarnation: f.incarnation, Sequence: s.sequence, AllStreams: r.All && n == 0, StreamsOnly: true,
			Streams: []*wire.StreamOrigin{{Service: r.Service, Version: r.Version, Streams: r.Streams[n:min(n+maxReportStreams, len(r.Streams))]}},
		}
		f.send(m, r.To)
		s.traffic.count(m, 0, len(r.To))
	}
}

// keepersOf returns the addresses of the keepers that know this front's streams of an origin. They
// are beside targets that stay, as long as there are any.
func (f *Front) keepersOf(s *state, o origin.Origin) []string {
	var staying, leaving []string
	for _, t := range s.pool.Targets(o.Service) {
		if t.Version != o.Version {
			continue
		}
		if a := f.keeperBeside(t.Address); t.Leaving {
			leaving = append(leaving, a)
		} else {
			staying = append(staying, a)
		}
	}
	key := origin.ID(f.settings.Peer)
	as := share.Nearest(key, staying, targetKeepers)
	return append(as, share.Nearest(key, leaving, targetKeepers-len(as))...)
}

// keeperBeside returns the address of the keeper that runs beside the target with the given address.
func (f *Front) keeperBeside(target string) string {
	h, _, err := net.SplitHostPort(target)
	if err != nil {
		return target // addresses were checked when the list was decoded
	}
	_, p, err := net.SplitHostPort(f.settings.Peer)
	if err != nil {
		return target // the settings were checked at the start
	}
	return net.JoinHostPort(h, p)
}

// readRecordsDue starts the next round of reading records that is due. Each live front reads the records
// of its part of the keepers.
func (f *Front) readRecordsDue(now time.Duration, s *state) {
	r := &s.records
	if !f.settings.Keepers || s.listedSince == 0 || r.round >= len(recordsRounds) || now-max(s.listedSince, r.since) < recordsRounds[r.round] {
		return
	}
	r.round++
	for _, t := range s.ownPart(now, s.peers.Live(now), f.settings.Peer) {
		if !r.read[t.Id] {
			f.tasks.Go(func() { f.runReadRecords(t) })
		}
	}
}

// runReadRecords reads the records of the keeper beside a target.
func (f *Front) runReadRecords(t *spec.Replica) {
	r, err := f.gossip.Records(f.running, f.keeperBeside(t.Address))
	if f.running.Err() != nil {
		return
	}
	if err != nil {
		f.log("records", "cannot read the keeper's records", "target", t.Id, "error", err.Error())
		return
	}
	f.loop.Post(func(now time.Duration, s *state) {
		s.records.read[t.Id] = true
		n := 0
		for _, m := range r.Streams {
			for _, id := range m.Streams {
				if _, ok := s.origins.Find(now, id); !ok && m.Version != "" {
					s.origins.Add(now, id, origin.Origin{Service: m.Service, Version: m.Version})
					n++
				}
			}
		}
		s.changed = s.changed || n > 0
		f.meter.recordsRead.Inc(int64(n))
		f.telem.Log.Info("records of keeper read", "target", t.Id, "new", n)
	})
}
