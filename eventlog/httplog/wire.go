// Package httplog speaks to the platform's log service over HTTP: a client
// that implements eventlog.Log, and the handler that the stand-in serves.
package httplog

import (
	"time"

	"github.com/marigoldshelf/marigoldshelf/eventlog"
)

// maxRecordBytes bounds one record on the wire.
const maxRecordBytes = 1 << 20

type recordsAnswer struct {
	Records []recordJSON `json:"records"`
}

type recordJSON struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

// expiredAnswer is the body of a status 410.
type expiredAnswer struct {
	Oldest uint64 `json:"oldest"`
}

type boundsAnswer struct {
	Oldest uint64 `json:"oldest"`
	Newest uint64 `json:"newest"`
}

func toWire(records []eventlog.Record) recordsAnswer {
	answer := recordsAnswer{Records: make([]recordJSON, len(records))}
	for i, r := range records {
		answer.Records[i] = recordJSON(r)
	}
	return answer
}

func fromWire(answer recordsAnswer) []eventlog.Record {
	records := make([]eventlog.Record, len(answer.Records))
	for i, r := range answer.Records {
		records[i] = eventlog.Record(r)
	}
	return records
}
