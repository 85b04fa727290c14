package memory_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/memory"
	"kingcupstand/internal/prop"
)

// upload is a body that is being received in a test.
type upload struct {
	body    *memory.Body
	rank    int
	evicted bool
	// progress is when it last grew by 16 KiB.
	progress time.Duration
}

func open(s *memory.Intake, now time.Duration, rank int) *upload {
	u := &upload{rank: rank, progress: now}
	u.body = s.Open(now, rank, func() { u.evicted = true })
	return u
}

// Pattern: callers that stop a byte short of their bodies' ends, and others that go on byte by byte, fill the
// account. Guards against a body that is refused for as long as they stay, and against slow bodies that are given
// up though nobody needs their room.
func TestSlowBodiesMakeRoom(t *testing.T) {
	a := memory.New(4 << 20)
	s := memory.NewIntake(a)
	var us []*upload
	for i := range 4 {
		u := open(s, time.Duration(i), 0)
		if !s.Reserve(0, u.body, 1<<20) {
			t.Fatal("refused in calm")
		}
		s.Received(0, u.body, 1<<20-1)
		us = append(us, u)
	}
	last := open(s, 0, 0)
	now := time.Duration(0)
	for ; now < 900*time.Millisecond; now += 100 * time.Millisecond {
		s.Received(now, us[0].body, 1)
		if s.Reserve(now, last.body, 1<<20) || us[0].evicted {
			t.Fatalf("a body is given up after %v", now)
		}
	}
	s.Reserve(2*time.Second, last.body, 1<<20)
	if !us[0].evicted || us[1].evicted {
		t.Error("not just the oldest slow body is given up")
	}
	if s.Reserve(3*time.Second, last.body, 1<<20) || us[1].evicted {
		t.Error("a second body is given up before the first has returned its memory")
	}
	held, evicted := s.Close(us[0].body)
	if a.Release(memory.Bodies, held); !evicted || held != 1<<20 {
		t.Errorf("the body holds %d bytes, given up: %v", held, evicted)
	}
	if !s.Reserve(2*time.Second, last.body, 1<<20) {
		t.Error("refused after a body was given up")
	}
}

// Guards against a chunked body that is refused in calm, as what it holds itself fills the account.
func TestBodyLongerThanTheAccountInBlocks(t *testing.T) {
	s := memory.NewIntake(memory.New(1 << 20))
	u := open(s, 0, 4)
	for range 64 {
		if !s.Reserve(0, u.body, 64<<10) {
			t.Fatal("refused though nothing else is held")
		}
	}
}

// Guards against urgent bodies that are given up before less urgent ones.
func TestLessUrgentSlowBodiesAreGivenUpFirst(t *testing.T) {
	s := memory.NewIntake(memory.New(0))
	urgent, other := open(s, 0, 0), open(s, time.Millisecond, 3)
	if n := s.EvictSlow(time.Minute, 1); n != 1 || urgent.evicted || !other.evicted {
		t.Errorf("%d bodies are given up, the urgent one: %v", n, urgent.evicted)
	}
}

// Whatever comes, no body is given up that grew by 16 KiB within a second or waits for memory, none before a slow one
// of a less urgent rank, and all memory comes back.
func TestPropertyOnlySlowBodiesAreGivenUp(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		a := memory.New(8 << 20)
		s := memory.NewIntake(a)
		var us []*upload
		var now time.Duration
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			if len(us) == 0 || rapid.IntRange(0, 2).Draw(t, "open") == 0 {
				us = append(us, open(s, now, rapid.IntRange(0, 4).Draw(t, "rank")))
			}
			u := us[rapid.IntRange(0, len(us)-1).Draw(t, "body")]
			before := map[*upload]bool{}
			for _, o := range us {
				before[o] = o.evicted
			}
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				s.Reserve(now, u.body, int64(rapid.SampledFrom([]int{1 << 10, 64 << 10, 1 << 20, 4 << 20}).Draw(t, "size")))
			case 1:
				n := rapid.SampledFrom([]int{1, 16 << 10, 1 << 20}).Draw(t, "received")
				if s.Received(now, u.body, n); n >= 16<<10 {
					u.progress = now
				}
			case 2:
				held, _ := s.Close(u.body)
				a.Release(memory.Bodies, held)
				for i := range us {
					if us[i] == u {
						us = append(us[:i], us[i+1:]...)
						break
					}
				}
			}
			for _, o := range us {
				if o.evicted && !before[o] && now-o.progress < time.Second {
					t.Fatalf("a body is given up %v after it grew", now-o.progress)
				}
			}
		}
		for _, u := range us {
			held, _ := s.Close(u.body)
			a.Release(memory.Bodies, held)
		}
		if n := a.Used(memory.Bodies); n != 0 {
			t.Fatalf("%d bytes are held by none", n)
		}
	})
}
