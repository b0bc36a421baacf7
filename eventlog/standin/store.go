// Package standin is a stand-in for the platform's log service, for tests and
// demonstrations. It keeps streams in memory, with limited retention and a
// rate limit on appends, and injects faults that can be changed while it runs.
// It is not for production.
package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down fails every request with eventlog.ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added before each request is handled; in JSON, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// LoseResponses fails appends with eventlog.ErrUnavailable after they took
	// effect.
	LoseResponses bool `json:"lose_answers"`
	// DownStreams are streams whose requests fail as with Down.
	DownStreams []eventlog.Stream `json:"down_streams"`
}

func (f Faults) isDown(s eventlog.Stream) bool {
	return f.Down || slices.Contains(f.DownStreams, s)
}

// Options sets the limits of the stand-in.
type Options struct {
	// Retention is the age at which records are dropped; zero keeps all.
	Retention time.Duration
	// AppendsPerSecond bounds the appends in one second of the clock, over all
	// streams; zero is unlimited.
	AppendsPerSecond int
	// MaxRecords is the number of newest records that a stream keeps; zero keeps
	// all.
	MaxRecords int
	// MaxBatchRecords is the largest number of records in one read; zero means 500.
	MaxBatchRecords int
}

const defaultBatchRecords = 500

// Store is an in-memory log. It implements eventlog.Log and is safe for
// concurrent use.
type Store struct {
	clock   clock.Clock
	options Options

	mu      sync.Mutex
	faults  Faults
	streams map[eventlog.Stream]*stream
	// rateSecond is the second of the clock that appendCount counts in.
	rateSecond  time.Time
	appendCount int
}

type stream struct {
	nextOffset uint64 // of the next record
	records    []eventlog.Record
	appended   chan struct{} // closed and replaced at each append
}

// New returns an empty store.
func New(c clock.Clock, o Options) *Store {
	if o.MaxBatchRecords == 0 {
		o.MaxBatchRecords = defaultBatchRecords
	}
	return &Store{clock: c, options: o, streams: make(map[eventlog.Stream]*stream)}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Append implements eventlog.Log.
func (s *Store) Append(ctx context.Context, name eventlog.Stream, data []byte) (uint64, error) {
	faults, err := s.applyFaults(ctx, name)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allowAppend() {
		return 0, eventlog.ErrRefused
	}
	st := s.stream(name)
	record := eventlog.Record{Offset: st.nextOffset, Time: s.clock.Now(), Data: append([]byte(nil), data...)}
	st.nextOffset++
	st.records = append(st.records, record)
	close(st.appended)
	st.appended = make(chan struct{})
	if faults.LoseResponses {
		return 0, eventlog.ErrUnavailable
	}
	return record.Offset, nil
}

// Read implements eventlog.Log.
func (s *Store) Read(ctx context.Context, name eventlog.Stream, from uint64, wait time.Duration) ([]eventlog.Record, error) {
	if _, err := s.applyFaults(ctx, name); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		records, appended, err := s.readAvailable(name, from)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// readAvailable returns the records from offset from on that the stream has now,
// at most a batch. If there are none, the returned channel is closed at the next
// append.
func (s *Store) readAvailable(name eventlog.Stream, from uint64) ([]eventlog.Record, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	oldest := st.nextOffset - uint64(len(st.records))
	from = max(from, 1)
	if from < oldest {
		return nil, nil, &eventlog.ExpiredError{Oldest: oldest}
	}
	if s.faults.isDown(name) {
		return nil, nil, eventlog.ErrUnavailable
	}
	if from >= st.nextOffset {
		return nil, st.appended, nil
	}
	records := st.records[from-oldest:]
	records = records[:min(len(records), s.options.MaxBatchRecords)]
	return append([]eventlog.Record(nil), records...), st.appended, nil
}

// Bounds implements eventlog.Log.
func (s *Store) Bounds(ctx context.Context, name eventlog.Stream) (eventlog.Bounds, error) {
	if _, err := s.applyFaults(ctx, name); err != nil {
		return eventlog.Bounds{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	return eventlog.Bounds{Oldest: st.nextOffset - uint64(len(st.records)), Newest: st.nextOffset - 1}, nil
}

// applyFaults delays or fails a request that starts, according to the injected
// faults, and returns these.
func (s *Store) applyFaults(ctx context.Context, name eventlog.Stream) (Faults, error) {
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
	if !second.Equal(s.rateSecond) {
		s.rateSecond = second
		s.appendCount = 0
	}
	s.appendCount++
	return s.options.AppendsPerSecond == 0 || s.appendCount <= s.options.AppendsPerSecond
}

// expire drops records beyond the limits of number and age. The caller holds
// s.mu.
func (s *Store) expire(st *stream) {
	if limit := s.options.MaxRecords; limit > 0 && len(st.records) > limit {
		st.records = st.records[len(st.records)-limit:]
	}
	if s.options.Retention == 0 {
		return
	}
	cutoff := s.clock.Now().Add(-s.options.Retention)
	for len(st.records) > 0 && st.records[0].Time.Before(cutoff) {
		st.records = st.records[1:]
	}
}

// stream returns the named stream and creates it if needed. The caller holds
// s.mu.
func (s *Store) stream(name eventlog.Stream) *stream {
	st, found := s.streams[name]
	if !found {
		st = &stream{nextOffset: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}
