package once

import (
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/relay/failure"
)

// recordBytes is the length of one record outside the process: id, hash and
// nonce of 16 bytes each, and the phase.
const recordBytes = 3*16 + 1

// appendRecords appends all records to raw.
func (t *Table) appendRecords(raw []byte) []byte {
	for _, generation := range t.generations {
		for id, rec := range generation {
			raw = append(raw, id[:]...)
			raw = append(raw, rec.hash[:]...)
			raw = append(raw, rec.nonce[:]...)
			raw = append(raw, byte(rec.phase))
		}
	}
	return raw
}

// restore puts records back into an empty store. They keep their bound: what
// the last owner had room for is not refused here.
func (s *store) restore(floor time.Time, raw []byte) error {
	if len(raw)%recordBytes != 0 {
		return failure.New(failure.Corrupt, "a handover holds half a record", "this is an error of the program: report it")
	}
	for i := range s.shards {
		s.shards[i].table.floor = floor
	}
	for ; len(raw) > 0; raw = raw[recordBytes:] {
		var rec record
		id := uuid.UUID(raw[:16])
		copy(rec.hash[:], raw[16:32])
		copy(rec.nonce[:], raw[32:48])
		rec.phase = phase(raw[48])
		if rec.phase > phaseUnknown {
			return failure.New(failure.Corrupt, "a handover holds an unknown phase", "run the same release on all entries")
		}
		key := Key{id: id}
		s.shardOf(key).table.put(key.Made(), id, rec)
	}
	return nil
}
