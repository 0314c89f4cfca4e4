package store_test

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/httpreply/replytest"
	"github.com/catkinrouter/catkinrouter/internal/memtest"
	"github.com/catkinrouter/catkinrouter/store"
)

// Answers without end must not count as a list, must end in time, and must take bounded memory.
func TestEndlessAnswers(t *testing.T) {
	const (
		limit     = 128 << 20 // bytes: what the buffers of some of the largest lists grow to
		timeLimit = 20 * time.Second
	)
	for _, c := range replytest.Endless {
		t.Run(c.Name, func(t *testing.T) {
			client := store.NewListClient(replytest.AnswerEndless(t, c, 0))
			defer client.Close()
			memtest.ResidentPeak(t)
			before, began := memtest.ResidentPeak(t), time.Now()
			if list, _, err := client.Instances(t.Context()); !store.IsKind(err, store.Unavailable) {
				t.Errorf("list %v, error %v; want unavailable", list, err)
			}
			if took := time.Since(began); took > timeLimit {
				t.Errorf("took %v", took)
			}
			if rise := memtest.ResidentPeak(t) - before; rise > limit {
				t.Errorf("resident memory rose by %d bytes, want at most %d", rise, limit)
			}
		})
	}
}
