package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dogwoodlanding.example/dogwood/pkg/retry"
	"gotest.tools/v3/assert"
)

func TestProgressDecidesRefusalAndRetry(t *testing.T) {
	for _, row := range []struct {
		progress                                                retry.Progress
		wantNotRun, wantRetryIdempotent, wantRetryNonIdempotent bool
	}{
		{retry.Unsent, true, true, true},
		{retry.Sent, false, true, false},
		{retry.Answered, false, false, false},
		{retry.Refused, true, true, true},
		{retry.Unknown, false, true, false},
	} {
		t.Run(row.progress.String(), func(t *testing.T) {
			assert.Equal(t, row.progress.NotRun(), row.wantNotRun)
			assert.Equal(t, row.progress.MayRetry(true), row.wantRetryIdempotent)
			assert.Equal(t, row.progress.MayRetry(false), row.wantRetryNonIdempotent)
		})
	}
}

func TestBackoffIsJitteredWithinItsLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := make(map[int64]bool)
	for attempt := range 200 {
		delay := retry.Backoff(random, attempt, 100, 2000)
		assert.Assert(t, delay >= 50 && delay < 2050)
		seen[int64(delay)] = true
	}
	assert.Assert(t, len(seen) > 50)
}

func ExampleBudget() {
	var b retry.Budget
	fmt.Println(b.Take(), b.Take())
	for range 10 {
		b.RecordSuccess()
	}
	fmt.Println(b.Take(), b.Take())
	// Output:
	// true false
	// true false
}
