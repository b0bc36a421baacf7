package controller

import (
	"container/heap"
	"time"
)

// timer queues one item at instant due.
type timer struct {
	item     item
	due      time.Time
	sequence uint64 // order of creation; breaks ties between equal due instants
	index    int
}

// timerHeap holds at most one timer per item, ordered by due instant. It is not
// safe for concurrent use: Pool.mu guards it.
type timerHeap struct {
	list         timerList
	byItem       map[item]*timer
	lastSequence uint64
}

func newTimerHeap() timerHeap {
	return timerHeap{byItem: make(map[item]*timer)}
}

// setEarlier adds a timer, or moves the item's existing timer if due is earlier.
// It reports whether the changed timer is now the earliest in the heap.
func (h *timerHeap) setEarlier(it item, due time.Time) bool {
	if t, found := h.byItem[it]; found {
		if !due.Before(t.due) {
			return false
		}
		t.due = due
		heap.Fix(&h.list, t.index)
		return t.index == 0
	}
	h.lastSequence++
	t := &timer{item: it, due: due, sequence: h.lastSequence}
	h.byItem[it] = t
	heap.Push(&h.list, t)
	return t.index == 0
}

func (h *timerHeap) remove(it item) {
	t, found := h.byItem[it]
	if !found {
		return
	}
	delete(h.byItem, it)
	heap.Remove(&h.list, t.index)
}

func (h *timerHeap) peek() (item, time.Time, bool) {
	if len(h.list) == 0 {
		return item{}, time.Time{}, false
	}
	return h.list[0].item, h.list[0].due, true
}

// timerList implements heap.Interface.
type timerList []*timer

func (l timerList) Len() int { return len(l) }

func (l timerList) Less(i, j int) bool {
	if l[i].due.Equal(l[j].due) {
		return l[i].sequence < l[j].sequence
	}
	return l[i].due.Before(l[j].due)
}

func (l timerList) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index = i
	l[j].index = j
}

func (l *timerList) Push(x any) {
	t := x.(*timer)
	t.index = len(*l)
	*l = append(*l, t)
}

func (l *timerList) Pop() any {
	last := len(*l) - 1
	t := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return t
}
