package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"kingcupstand/core/origin"
	"kingcupstand/core/share"
	"kingcupstand/io/actor"
	"kingcupstand/io/dial"
	"kingcupstand/schema/spec"
)

// Reading of the targets' lists of what they run.
const (
	// runsTimeout bounds the reading of one list. Targets go on only for a while with requests
	// whose front is gone.
	runsTimeout = 400 * time.Millisecond
	// listChecks is how often, listCheckInterval apart, a front checks whether its list of targets
	// has become as current as what targets have listed.
	listChecks        = 20
	listCheckInterval = 50 * time.Millisecond
	// maxRunsBody is the largest size in bytes of a list.
	maxRunsBody = 256 << 10
)

// runsRounds are the times, after a front knows its first targets, at which it reads the lists
// of its part of them. The lists are as of some time before, up to several seconds.
var runsRounds = []time.Duration{
	100 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond,
	2500 * time.Millisecond, 4 * time.Second, 6 * time.Second,
}

var errListStatus = errors.New("list of runs refused")

// readRunsDue starts the next round of reading that is due. After a restart of all fronts, the
// targets alone know which of them began the streams that callers resume.
func (f *Front) readRunsDue(now time.Duration, s *state) {
	if s.runsRound >= len(runsRounds) || s.listedSince == 0 || now-s.listedSince < runsRounds[s.runsRound] {
		return
	}
	s.runsRound++
	ts := s.ownPart(now, s.peers.Serving(now), f.settings.Peer)
	for _, t := range ts {
		f.tasks.Go(func() { f.runReadRuns(t) })
	}
	f.telem.Log.Info("reading what targets run", "round", s.runsRound, "targets", len(ts))
}

// ownPart returns the targets of streams that callers may resume which this front reads, of this one
// and the given peers.
func (s *state) ownPart(now time.Duration, peers []string, self string) (ts []*spec.Replica) {
	fronts := append(peers, self)
	services := s.plan.ResumableServices()
	for _, r := range s.roster.Replicas(now) {
		if r.Version != "" && services[r.Service] && share.First(origin.ID(r.Id), fronts) == self {
			ts = append(ts, r)
		}
	}
	return ts
}

// runReadRuns reads the list of a target and records the origins of what it runs, once this
// front's list of targets is as current.
func (f *Front) runReadRuns(t *spec.Replica) {
	ctx := f.running
	ids, err := f.readRuns(ctx, t)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.log("runs", "cannot read what target runs", "target", t.Id, "error", err.Error())
		return
	}
	if actor.Ask(f.loop, func(now time.Duration, s *state) bool { return s.knowsOrigins(now, ids) }) {
		return
	}
	at, err := f.positions.Ask(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.log("position", "platform's position unknown", "error", err.Error())
		return
	}
	for range listChecks {
		n := actor.Ask(f.loop, func(now time.Duration, s *state) int {
			if !s.position.covers(at) {
				return -1
			}
			return s.recordRuns(now, t, ids)
		})
		if n >= 0 {
			f.meter.originsRead.Inc(int64(n))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listCheckInterval):
		}
	}
	f.log("runs", "cannot record what target runs: list of targets is not current", "target", t.Id)
}

// readRuns reads the list of one target.
func (f *Front) readRuns(ctx context.Context, t *spec.Replica) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	c, err := f.dialer.Open(ctx, t.Address) // lists name no request
	if err != nil {
		return nil, err
	}
	detach := context.AfterFunc(ctx, c.Close)
	h := http.Header{}
	f.codec.EncodeDispatch(h, Dispatch{Target: t.Id, Timeout: runsTimeout})
	a, ids, err := f.exchangeRuns(c, dial.Request{Method: http.MethodGet, URI: f.codec.RunsPath(), Host: t.Address, Header: h})
	if err != nil || !detach() {
		c.Close() // it may carry an answer to another request
		return nil, errors.Join(err, ctx.Err())
	}
	f.dialer.Put(c, a)
	return ids, nil
}

// exchangeRuns sends the request for a list and reads the whole response.
func (f *Front) exchangeRuns(c *dial.Conn, q dial.Request) (*http.Response, []string, error) {
	if _, err := c.Send(q); err != nil {
		return nil, nil, err
	}
	a, err := c.Receive(q.Method)
	if err != nil {
		return nil, nil, err
	}
	if f.codec.DecodeReply(a.StatusCode, a.Header).ID != "" {
		return nil, nil, errWrongRequest
	}
	if a.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%w: status %d", errListStatus, a.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxRunsBody+1))
	if err != nil {
		return nil, nil, fmt.Errorf("receive: %w", err)
	}
	if len(b) > maxRunsBody {
		return nil, nil, errBodyTooLong
	}
	ids, err := f.codec.DecodeRuns(b)
	return a, ids, err
}

// knowsOrigins reports whether this front has a record of each of some requests.
func (s *state) knowsOrigins(now time.Duration, ids []string) bool {
	return !slices.ContainsFunc(ids, func(i string) bool {
		_, ok := s.origins.Find(now, origin.ID(i))
		return !ok
	})
}

// recordRuns records the origins of what a target runs, and returns how many were new. The
// target's address may have been given to another process: then the list, which is current, has
// both, or no longer the target.
func (s *state) recordRuns(now time.Duration, t *spec.Replica, ids []string) int {
	listed := false
	for _, r := range s.roster.Replicas(now) {
		if r.Address == t.Address && r.Id != t.Id {
			return 0
		}
		listed = listed || r.Id == t.Id && r.Address == t.Address && r.Version == t.Version
	}
	if !listed {
		return 0
	}
	n := 0
	for _, i := range ids {
		id := origin.ID(i)
		if _, ok := s.origins.Find(now, id); !ok {
			s.origins.Add(now, id, origin.Origin{Service: t.Service, Version: t.Version})
			n++
		}
	}
	s.changed = s.changed || n > 0
	return n
}
