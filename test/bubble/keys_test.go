package bubble_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/mesh"
	"github.com/marigoldshelf/marigoldshelf/test/bubble"
	"github.com/marigoldshelf/marigoldshelf/verdict"
)

// bookRepeatedly sends one booking under one idempotency key three times through
// each of several nodes, in parallel, and returns all responses. number is part
// of the key and of the run ID.
func bookRepeatedly(f *bubble.Fleet, number int, at ...mesh.HostID) []bubble.Response {
	run := fmt.Sprintf("keyed-%d", number)
	request := bubble.Request{
		Method: http.MethodPost, HostName: "desk.example", Path: "/booking/" + run, RunID: run, IdempotencyKey: run, Body: "cup " + run,
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var responses []bubble.Response
	for _, id := range at {
		group.Go(func() {
			for range 3 {
				a := f.Call(id, request)
				mu.Lock()
				responses = append(responses, a)
				mu.Unlock()
				time.Sleep(2 * time.Second)
			}
		})
	}
	group.Wait()
	return responses
}

// checkKeyed checks that the booking with one key ran at most once, and that
// every response with status 200 carries the body of that run. It returns whether
// there was such a response.
func checkKeyed(t *testing.T, f *bubble.Fleet, number int, responses []bubble.Response) (answered bool) {
	t.Helper()
	run := fmt.Sprintf("keyed-%d", number)
	runs := f.RunCount(run)
	must.LessEq(t, 1, runs, must.Sprintf("booking %s ran %d times", run, runs))
	for _, a := range responses {
		if a.Err == nil && a.Status == http.StatusOK {
			must.Eq(t, "cup "+run, a.Body)
			must.Eq(t, 1, runs)
			answered = true
		}
	}
	return answered
}

// TestRepeatedKeyRunsAtMostOnceWhileHostsDie repeats bookings with a key through
// two zones while hosts die and a zone is isolated. A node that has lost the
// key's record, or an isolated zone that decides alone, would run it again.
func TestRepeatedKeyRunsAtMostOnceWhileHostsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newServingFleet(t)
		defer f.Close()
		time.Sleep(30 * time.Second) // the primaries and backups of all keys are assigned
		var group sync.WaitGroup
		results := make([][]bubble.Response, 40)
		for i := range results {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				results[i] = bookRepeatedly(f, i, "fes-1", "meknes-1")
			})
		}
		time.Sleep(5 * time.Second)
		f.Kill("fes-2")
		time.Sleep(5 * time.Second)
		f.Start("fes-2")
		f.PartitionZones("meknes")
		time.Sleep(5 * time.Second)
		f.PartitionZones()
		f.Kill("meknes-2")
		group.Wait()
		answered := 0
		reasons := make(map[string]int)
		for i, responses := range results {
			if checkKeyed(t, f, i, responses) {
				answered++
			}
			for _, a := range responses {
				reasons[a.Verdict+" "+a.Reason]++
			}
		}
		must.Positive(t, answered)
		t.Logf("%d of %d keys answered; responses by verdict and reason: %v", answered, len(results), reasons)
	})
}

// TestKeySurvivesHostDeath runs bookings with keys, kills one host, and repeats
// them. The remaining holder of each key must still have its record and replay
// the response instead of running the booking again.
func TestKeySurvivesHostDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newServingFleet(t)
		defer f.Close()
		time.Sleep(30 * time.Second)
		const keys = 20
		for i := range keys {
			must.True(t, checkKeyed(t, f, i, bookRepeatedly(f, i, "fes-1")))
		}
		f.Kill("meknes-2")
		time.Sleep(30 * time.Second)
		for i := range keys {
			responses := bookRepeatedly(f, i, "meknes-1")
			last := responses[len(responses)-1]
			must.Eq(t, http.StatusOK, last.Status, must.Sprintf("key %d: %+v", i, last))
			must.Eq(t, verdict.Ran.String(), last.Verdict)
			checkKeyed(t, f, i, responses)
		}
	})
}
