package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marigoldshelf/marigoldshelf/platform/standin"
)

// headerID is the header that identifies a client attempt.
const headerID = "X-" + "Attempt-Id"

// Client is a client with one kept connection to the node of its host. It opens a
// new one when the last one was closed. It is not safe for concurrent use.
type Client struct {
	Host *Host
	Name string

	conn     net.Conn
	reader   *bufio.Reader
	answered int // responses on the connection
	sent     int
}

// Request is a request of a client.
type Request struct {
	Method, Target string
	// Body is sent in chunks if Chunked is set, else with its length.
	Body    []byte
	Chunked bool
	// BodyDelay is the pause between head and body.
	BodyDelay time.Duration
	// Timeout is how long the client waits.
	Timeout time.Duration
	// Extra and ExtraAfter hold further header lines, before and after the one that
	// tells the length of the body.
	Extra, ExtraAfter string
}

// Answer is what a client got.
type Answer struct {
	ID, Host string
	Sent     time.Time
	Took     time.Duration
	Status   int    // zero for none
	Failure  string // why there is no complete answer
	Kept     bool   // the connection had carried an answer before
	Closed   bool   // the node closed the connection without a complete answer
	// Foreign is true for a success that belongs to another request.
	Foreign bool
}

func (a Answer) String() string {
	result := strconv.Itoa(a.Status)
	if a.Status == 0 {
		result = "none (" + a.Failure + ")"
	}
	connection := "new"
	if a.Kept {
		connection = "kept"
	}
	return fmt.Sprintf("%s %s, %s connection: %s after %d ms", a.Sent.Format("05.000"), a.ID, connection, result, a.Took.Milliseconds())
}

// Send sends one request and waits for the answer.
func (c *Client) Send(r Request) (a Answer) {
	c.sent++
	a = Answer{ID: fmt.Sprintf("%s-%d", c.Name, c.sent), Host: c.Host.Name, Sent: time.Now()}
	defer func() { a.Took = time.Since(a.Sent) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Host.callers, time.Second)
		if err != nil {
			a.Failure = err.Error()
			return a
		}
		c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	}
	a.Kept = c.answered > 0
	_ = c.conn.SetDeadline(a.Sent.Add(r.Timeout))
	if err := c.write(a.ID, r); err != nil {
		return c.fail(a, err)
	}
	request := &http.Request{Method: r.Method}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return c.fail(a, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return c.fail(a, err)
	}
	a.Status = response.StatusCode
	a.Foreign = a.Status == http.StatusOK && !strings.HasSuffix(string(body), " "+a.ID)
	c.answered++
	if response.Close {
		c.Close()
	}
	return a
}

func (c *Client) write(id string, r Request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s", r.Method, r.Target, hostName, standin.CallerHeaders(id, r.Timeout), r.Extra)
	body := string(r.Body)
	switch {
	case r.Chunked:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(r.Body), r.Body)
	case len(r.Body) > 0:
		head += "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"
	}
	head += r.ExtraAfter
	if r.BodyDelay == 0 {
		_, err := io.WriteString(c.conn, head+"\r\n"+body)
		return err
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return err
	}
	time.Sleep(r.BodyDelay)
	_, err := io.WriteString(c.conn, body)
	return err
}

func (c *Client) fail(a Answer, err error) Answer {
	a.Failure = err.Error()
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		a.Closed = true
	}
	c.Close()
	return a
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Log collects answers. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	answers []Answer
}

// Add adds an answer.
func (l *Log) Add(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// Answers returns all answers.
func (l *Log) Answers() []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Answer(nil), l.answers...)
}
