package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// longPrefix and shortPrefix are the prefixes of the routes of long and of short streams.
	longPrefix, shortPrefix = "/replan/", "/sort/"
	// longLimit and shortLimit are the time limits of their requesters.
	longLimit, shortLimit = 15 * time.Second, 3 * time.Second
	// tries is how often a requester sends a stream, with the first attempt: the sheet has one retry.
	tries = 2
)

// configuration is that of a small deployment with one service of model replicas.
const configuration = `{"version":7,"routes":[
{"name":"weekly-replan","host":"week.example","prefix":"/replan/","route_kind":"streaming","timeout_ms":15000,"latency_goal_ms":800,"priority":0,"service":"route-assist","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_goal_ms":400},
{"name":"complaint-sort","host":"week.example","prefix":"/sort/","route_kind":"streaming","timeout_ms":3000,"latency_goal_ms":400,"priority":2,"service":"route-assist","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_goal_ms":400}],
"services":[{"name":"route-assist","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":606369}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"windhoek","api_keys":["key-windhoek-1"],"priority":1,"unit":"token_stream","uncached_tokens":200,"rate_per_s":295192,"burst":295192}]}`

// start starts a number of replicas that are made like the given one, and of fronts. Versions names the versions of
// the first replicas; the others have the last of them.
func (s *system) start(like *replica, replicas, fronts int, versions ...string) error {
	s.store.put("op/config", []byte(configuration))
	for i := range replicas {
		r := &replica{
			id: fmt.Sprintf("i-%d", i+1), service: "route-assist", slots: 12, events: like.events, short: like.short, gap: like.gap,
			stride: like.stride, crashes: like.crashes,
		}
		if err := s.addReplica(r, versions[min(i, len(versions)-1)]); err != nil {
			return err
		}
	}
	if err := s.startFronts(fronts); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// story is a stream over all attempts of its requester.
type story struct {
	events []string
	// resumed is true if it was taken up again, and wentOn if an event has come after that.
	resumed, wentOn bool
}

// versions returns the versions whose events the stream holds.
func (o story) versions() []string {
	var vs []string
	for _, e := range o.events {
		vs = append(vs, eventVersion(e))
	}
	slices.Sort(vs)
	return slices.Compact(vs)
}

// follow is a requester that wants a whole stream: it begins at the front number n, and if the stream breaks off,
// takes it up at the next ones. It names the attempt that brought the first event, and waits as a refusal asks.
func (s *system) follow(n int) (o story) {
	end := time.Now().Add(longLimit)
	first, last := "", 0
	for try := range tries {
		left := time.Until(end)
		if left < 200*time.Millisecond {
			return o
		}
		f, id := s.fronts[(n+try)%len(s.fronts)], newAttempt()
		var extra []string
		if first != "" {
			o.resumed = true
			extra = []string{fmt.Sprintf("Last-Event-Id: %d", last), "Resumes: " + first}
		}
		a := call(f.callers(), http.MethodPost, fmt.Sprintf("%s%d", longPrefix, n), id, left, gapLimit, extra...)
		o.events = append(o.events, a.events...)
		if len(a.events) > 0 {
			last = eventID(a.events[len(a.events)-1])
			o.wentOn = first != ""
			if first == "" {
				first = id
			}
		}
		whole := a.complete && a.status == http.StatusOK
		s.record.note("stream %d, attempt %s at %s: status %d, %d events up to %d, whole %v, versions so far %v %s %v", n, id, f.name, a.status, len(a.events), last, whole, o.versions(), a.refusal(), a.err)
		if whole {
			return o
		}
		time.Sleep(a.retryAfter(time.Until(end)))
	}
	return o
}

// sendNew sends a number of new streams and returns how many of them begin.
func (s *system) sendNew(n int, fronts []*front) int {
	var g sync.WaitGroup
	var mu sync.Mutex
	begun := 0
	for i := range n {
		g.Go(func() {
			f := fronts[i%len(fronts)]
			a := call(f.callers(), http.MethodPost, longPrefix+"new", newAttempt(), longLimit, gapLimit)
			s.record.note("new stream %d at %s: status %d, %d events %s", i, f.name, a.status, len(a.events), a.refusal())
			mu.Lock()
			defer mu.Unlock()
			if len(a.events) > 0 {
				begun++
			}
		})
	}
	g.Wait()
	return begun
}

// breakStreams begins streams at all fronts, kills the first front after a while, unless there is to be no trouble,
// and checks that the streams which broke off are taken up again at least half as often as new ones begin.
func (s *system) breakStreams(streams int, after time.Duration, trouble bool) (broken bool) {
	stories := make([]story, streams)
	var g sync.WaitGroup
	for i := range stories {
		g.Go(func() { stories[i] = s.follow(i) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(after)
	if trouble {
		s.kill(s.fronts[0])
	}
	const news = 12
	begun := s.sendNew(news, s.fronts[1:])
	g.Wait()
	resumed, wentOn := 0, 0
	for _, o := range stories {
		if o.resumed {
			resumed++
		}
		if o.wentOn {
			wentOn++
		}
	}
	s.record.note("%d streams are taken up again, %d of them go on; %d of %d new ones begin", resumed, wentOn, begun, news)
	return resumed >= 12 && float64(wentOn)/float64(resumed) < float64(begun)/news/2
}
