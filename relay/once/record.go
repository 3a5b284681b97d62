package once

import (
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/relay/failure"
)

// recordBytes is the length of one encoded record: id, hash and nonce of 16
// bytes each, and one byte for the phase.
const recordBytes = 3*16 + 1

// appendRecords appends the encoded records of all keys to raw.
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

// restore decodes records into an empty store. It does not apply MaxKeys: the
// previous owner had room for these keys, so none of them is refused here.
func (s *store) restore(floor time.Time, raw []byte) error {
	if len(raw)%recordBytes != 0 {
		return failure.New(failure.Corrupt, "the length of a handover's records is not a multiple of the record size", "this is a bug: report it")
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
			return failure.New(failure.Corrupt, "a handover contains a record with an unknown phase", "run the same release on all entries")
		}
		key := Key{id: id}
		s.shardOf(key).table.put(key.Created(), id, rec)
	}
	return nil
}
