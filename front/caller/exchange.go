package caller

import (
	"net/http"
	"sync"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
)

// exchange is the bytes of one request while it is served: its body, the
// answers that came, and the way to cancel each attempt. What is decided about
// it is in the table Calls.
type exchange struct {
	request *http.Request
	call    call.Call
	body    *body

	mu      sync.Mutex
	over    bool
	cancels map[int]func()
	answers map[int]*http.Response
}

// begin notes how to cancel an attempt. It returns false when the exchange is
// over.
func (x *exchange) begin(attempt int, cancel func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return false
	}
	if x.cancels == nil {
		x.cancels = make(map[int]func())
		x.answers = make(map[int]*http.Response)
	}
	x.cancels[attempt] = cancel
	return true
}

// keep holds the answer of an attempt. It returns false when the exchange is
// over: nobody wants the answer then.
func (x *exchange) keep(attempt int, answer *http.Response) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return false
	}
	x.answers[attempt] = answer
	return true
}

// take returns the answer of an attempt and cancels every other attempt.
func (x *exchange) take(attempt int) *http.Response {
	x.cancelAllBut(attempt)
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := x.answers[attempt]
	delete(x.answers, attempt)
	return answer
}

// cancel ends every attempt and drops their answers.
func (x *exchange) cancel() {
	x.cancelAllBut(-1)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = true
	for _, answer := range x.answers {
		answer.Body.Close()
	}
	x.answers = nil
}

func (x *exchange) cancelAllBut(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, cancel := range x.cancels {
		if i != attempt {
			cancel()
		}
	}
}

// exchanges finds the exchange of a request ID.
type exchanges struct {
	byID sync.Map // string -> *exchange
}

func (e *exchanges) add(x *exchange)    { e.byID.Store(x.call.Request.ID, x) }
func (e *exchanges) remove(x *exchange) { e.byID.Delete(x.call.Request.ID) }

func (e *exchanges) find(id string) (*exchange, bool) {
	x, found := e.byID.Load(id)
	if !found {
		return nil, false
	}
	return x.(*exchange), true
}
