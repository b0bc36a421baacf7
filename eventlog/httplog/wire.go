// Package httplog is the HTTP protocol of the platform's log service: a client
// that implements eventlog.Log, and the handler that the stand-in serves.
// Results are JSON; an append sends the record's bytes as the request body.
package httplog

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// maxRecordBytes bounds the data of one appended record.
const maxRecordBytes = 1 << 20

type readResult struct {
	Records []recordJSON `json:"records"`
}

type recordJSON struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

type appendResult struct {
	Offset uint64 `json:"offset"`
}

// expiredResult is the body of a response with status 410.
type expiredResult struct {
	Oldest uint64 `json:"oldest"`
}

type boundsResult struct {
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

func toWire(records []eventlog.Record) readResult {
	result := readResult{Records: make([]recordJSON, len(records))}
	for i, r := range records {
		result.Records[i] = recordJSON(r)
	}
	return result
}

func fromWire(result readResult) []eventlog.Record {
	records := make([]eventlog.Record, len(result.Records))
	for i, r := range result.Records {
		records[i] = eventlog.Record(r)
	}
	return records
}
