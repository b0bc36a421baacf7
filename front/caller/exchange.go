package caller

import (
	"net/http"
	"sync"

	"github.com/marigoldshelf/marigoldshelf/decide/call"
)

// exchange is the transport state of one request while it is served: its body,
// the responses of its attempts, and the function that cancels each attempt. The
// decisions about the request are in the table Calls.
type exchange struct {
	request *http.Request
	call    call.Call
	body    *body

	mu        sync.Mutex
	closed    bool
	cancels   map[int]func()         // by attempt
	responses map[int]*http.Response // by attempt
}

// addCancel sets the function that cancels an attempt. It returns false if the
// exchange is closed.
func (x *exchange) addCancel(attempt int, cancel func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return false
	}
	if x.cancels == nil {
		x.cancels = make(map[int]func())
		x.responses = make(map[int]*http.Response)
	}
	x.cancels[attempt] = cancel
	return true
}

// storeResponse stores the response of an attempt. It returns false if the
// exchange is closed; the response is then not needed and the caller closes it.
func (x *exchange) storeResponse(attempt int, response *http.Response) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return false
	}
	x.responses[attempt] = response
	return true
}

// takeResponse removes and returns the response of an attempt, and cancels every
// other attempt.
func (x *exchange) takeResponse(attempt int) *http.Response {
	x.cancelAllExcept(attempt)
	x.mu.Lock()
	defer x.mu.Unlock()
	response := x.responses[attempt]
	delete(x.responses, attempt)
	return response
}

// cancelAll closes the exchange: it cancels every attempt and closes the stored
// responses.
func (x *exchange) cancelAll() {
	x.cancelAllExcept(-1)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, response := range x.responses {
		response.Body.Close()
	}
	x.responses = nil
}

func (x *exchange) cancelAllExcept(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, cancel := range x.cancels {
		if i != attempt {
			cancel()
		}
	}
}

// exchangeMap maps request IDs to exchanges. It is safe for concurrent use.
type exchangeMap struct {
	byID sync.Map // string -> *exchange
}

func (m *exchangeMap) add(x *exchange)    { m.byID.Store(x.call.Request.ID, x) }
func (m *exchangeMap) remove(x *exchange) { m.byID.Delete(x.call.Request.ID) }

func (m *exchangeMap) find(id string) (*exchange, bool) {
	x, found := m.byID.Load(id)
	if !found {
		return nil, false
	}
	return x.(*exchange), true
}
