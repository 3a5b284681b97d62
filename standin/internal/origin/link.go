package origin

import (
	"context"
	"io"
	"net/http"

	"golang.org/x/time/rate"
)

const (
	// quantum is the number of bytes that a transfer sends before another one's
	// turn. Transfers wait in order of arrival, so that they share the link evenly.
	quantum = 16 << 10
	// burstSeconds is how many seconds of the rate the link may catch up after a
	// scheduling delay.
	burstSeconds = 0.01
)

// link limits the total rate of all transfers.
type link struct {
	limiter *rate.Limiter
}

func newLink(bytesPerSecond float64) *link {
	l := &link{limiter: rate.NewLimiter(rate.Inf, quantum)}
	l.setRate(bytesPerSecond)
	return l
}

// setRate changes the rate immediately; 0 means unlimited.
func (l *link) setRate(bytesPerSecond float64) {
	limit := rate.Limit(bytesPerSecond)
	if bytesPerSecond <= 0 {
		limit = rate.Inf
	}
	l.limiter.SetBurst(max(quantum, int(bytesPerSecond*burstSeconds)))
	l.limiter.SetLimit(limit)
}

// copy sends the source at the link's rate and returns the number of bytes sent.
// Before each quantum it calls beforeWrite, which may block or change the bytes.
func (l *link) copy(ctx context.Context, w http.ResponseWriter, source io.Reader, beforeWrite func([]byte) error) (int64, error) {
	sent := int64(0)
	buffer := make([]byte, quantum)
	for {
		n, err := io.ReadFull(source, buffer)
		if n == 0 {
			return sent, nil
		}
		if err := beforeWrite(buffer[:n]); err != nil {
			return sent, err
		}
		if err := l.limiter.WaitN(ctx, n); err != nil {
			return sent, err
		}
		written, writeErr := w.Write(buffer[:n])
		sent += int64(written)
		if writeErr != nil {
			return sent, writeErr
		}
		if err != nil {
			return sent, nil
		}
	}
}
