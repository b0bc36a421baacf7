// Package standin is a stand-in for the platform's log service, for tests and
// demonstrations. It keeps streams in memory, with limited retention and a
// rate limit on appends, and can be made to fail while it runs. It is not for
// production.
package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// Faults is what the stand-in does wrong at present. The zero value works.
type Faults struct {
	// Down refuses every request without an answer.
	Down bool `json:"down"`
	// Delay is added before each request is handled, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// LoseAnswers makes appends take effect, but loses the answer.
	LoseAnswers bool `json:"lose_answers"`
	// DownStreams refuses requests on these streams only.
	DownStreams []eventlog.Stream `json:"down_streams"`
}

func (f Faults) isDown(s eventlog.Stream) bool {
	return f.Down || slices.Contains(f.DownStreams, s)
}

// Options sets the bounds of the stand-in.
type Options struct {
	// Retention is the age at which records are dropped; zero keeps all.
	Retention time.Duration
	// AppendsPerSecond bounds appends; zero is without bound.
	AppendsPerSecond int
	// Records is the number of records that a stream keeps; zero keeps all.
	Records int
	// Batch is the largest number of records in one read; zero means 500.
	Batch int
}

const defaultBatch = 500

// Store is the stand-in. It implements eventlog.Log and is safe for concurrent
// use.
type Store struct {
	clock   clock.Clock
	options Options

	mu      sync.Mutex
	faults  Faults
	streams map[eventlog.Stream]*stream
	second  time.Time // the second that appended counts in
	count   int
}

type stream struct {
	next    uint64 // the offset of the next record
	records []eventlog.Record
	grown   chan struct{} // closed and replaced at each append
}

// New returns an empty store.
func New(c clock.Clock, o Options) *Store {
	if o.Batch == 0 {
		o.Batch = defaultBatch
	}
	return &Store{clock: c, options: o, streams: make(map[eventlog.Stream]*stream)}
}

// SetFaults replaces the present faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the present faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Append implements eventlog.Log.
func (s *Store) Append(ctx context.Context, name eventlog.Stream, data []byte) (uint64, error) {
	faults, err := s.suffer(ctx, name)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allowAppend() {
		return 0, eventlog.ErrRefused
	}
	st := s.stream(name)
	record := eventlog.Record{Offset: st.next, Time: s.clock.Now(), Data: append([]byte(nil), data...)}
	st.next++
	st.records = append(st.records, record)
	close(st.grown)
	st.grown = make(chan struct{})
	if faults.LoseAnswers {
		return 0, eventlog.ErrUnavailable
	}
	return record.Offset, nil
}

// Read implements eventlog.Log.
func (s *Store) Read(ctx context.Context, name eventlog.Stream, from uint64, wait time.Duration) ([]eventlog.Record, error) {
	if _, err := s.suffer(ctx, name); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		records, grown, err := s.readNow(name, from)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

func (s *Store) readNow(name eventlog.Stream, from uint64) ([]eventlog.Record, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	oldest := st.next - uint64(len(st.records))
	from = max(from, 1)
	if from < oldest {
		return nil, nil, &eventlog.ExpiredError{Oldest: oldest}
	}
	if s.faults.isDown(name) {
		return nil, nil, eventlog.ErrUnavailable
	}
	if from >= st.next {
		return nil, st.grown, nil
	}
	records := st.records[from-oldest:]
	records = records[:min(len(records), s.options.Batch)]
	return append([]eventlog.Record(nil), records...), st.grown, nil
}

// Bounds implements eventlog.Log.
func (s *Store) Bounds(ctx context.Context, name eventlog.Stream) (eventlog.Bounds, error) {
	if _, err := s.suffer(ctx, name); err != nil {
		return eventlog.Bounds{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	return eventlog.Bounds{Oldest: st.next - uint64(len(st.records)), Newest: st.next - 1}, nil
}

// suffer applies the present faults to a request that begins.
func (s *Store) suffer(ctx context.Context, name eventlog.Stream) (Faults, error) {
	faults := s.Faults()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return faults, eventlog.ErrUnavailable
		}
	}
	if faults.isDown(name) {
		return faults, eventlog.ErrUnavailable
	}
	return faults, nil
}

// allowAppend counts an append against the rate limit. The caller holds s.mu.
func (s *Store) allowAppend() bool {
	second := s.clock.Now().Truncate(time.Second)
	if !second.Equal(s.second) {
		s.second = second
		s.count = 0
	}
	s.count++
	return s.options.AppendsPerSecond == 0 || s.count <= s.options.AppendsPerSecond
}

// expire drops records past retention. The caller holds s.mu.
func (s *Store) expire(st *stream) {
	if kept := s.options.Records; kept > 0 && len(st.records) > kept {
		st.records = st.records[len(st.records)-kept:]
	}
	if s.options.Retention == 0 {
		return
	}
	limit := s.clock.Now().Add(-s.options.Retention)
	for len(st.records) > 0 && st.records[0].Time.Before(limit) {
		st.records = st.records[1:]
	}
}

func (s *Store) stream(name eventlog.Stream) *stream {
	st, found := s.streams[name]
	if !found {
		st = &stream{next: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}
