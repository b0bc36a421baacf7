package controller

import (
	"container/heap"
	"time"
)

// timer is the pending wake-up of one key.
type timer struct {
	it    item
	due   time.Time
	order uint64 // ties are broken by the order of arrival
	index int
}

// timerHeap holds at most one timer for each key, the earliest at the top. It
// is not safe for concurrent use: the pool's lock guards it.
type timerHeap struct {
	list   timerList
	byItem map[item]*timer
	count  uint64
}

func newTimerHeap() timerHeap {
	return timerHeap{byItem: make(map[item]*timer)}
}

// setEarlier adds a timer, or moves the one that stands to an earlier instant.
// It reports whether the heap's top moved.
func (h *timerHeap) setEarlier(it item, due time.Time) bool {
	if t, found := h.byItem[it]; found {
		if !due.Before(t.due) {
			return false
		}
		t.due = due
		heap.Fix(&h.list, t.index)
		return t.index == 0
	}
	h.count++
	t := &timer{it: it, due: due, order: h.count}
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
	return h.list[0].it, h.list[0].due, true
}

// timerList implements heap.Interface.
type timerList []*timer

func (l timerList) Len() int { return len(l) }

func (l timerList) Less(i, j int) bool {
	if l[i].due.Equal(l[j].due) {
		return l[i].order < l[j].order
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
