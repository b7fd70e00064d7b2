package bwadmit_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
)

// BenchmarkAdmit admits and ends one request while about as many others wait as
// there are teams.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			qu, err := bwadmit.New(bwadmit.Config{
				Service: bwmodel.Service{QueueLimit: 100000, Class: bwmodel.PromptClass},
				Now:     time.Now, Capacity: func() int { return 64 },
			})
			if err != nil {
				b.Fatal(err)
			}
			qu.Start(b.Context())
			names := make([]bwmodel.TeamID, teams)
			for idx := range names {
				names[idx] = bwmodel.TeamID(fmt.Sprintf("team-%d", idx))
			}
			var turn atomic.Int64
			b.ReportAllocs()
			b.SetParallelism(max(1, teams/10))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					name := names[turn.Add(1)%int64(teams)]
					grant, err := qu.Admit(b.Context(), request(name, bwmodel.PromptClass))
					if err != nil {
						b.Error(err)
						return
					}
					grant.Finish(10)
				}
			})
		})
	}
}

// BenchmarkFullQueue refuses one request of a queue that is full, in which each
// of many teams has work waiting.
func BenchmarkFullQueue(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			qu, err := bwadmit.New(bwadmit.Config{
				Service: bwmodel.Service{QueueLimit: 2 * teams, Class: bwmodel.PromptClass},
				Now:     time.Now, Capacity: func() int { return 1 },
			})
			if err != nil {
				b.Fatal(err)
			}
			qu.Start(b.Context())
			if _, err := qu.Admit(b.Context(), request("first", bwmodel.PromptClass)); err != nil {
				b.Fatal(err)
			}
			for idx := range 2 * teams {
				wt := &waiting{qu: qu, team: bwmodel.TeamID(fmt.Sprintf("team-%d", idx%teams))}
				go wt.run(b.Context())
			}
			for qu.Load().WaitingPrompt < 2*teams {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := qu.Admit(b.Context(), request("team-0", bwmodel.PromptClass)); err == nil {
					b.Fatal("a full queue took work")
				}
			}
		})
	}
}

// waiting is a request that waits until the benchmark ends.
type waiting struct {
	qu   *bwadmit.Queue
	team bwmodel.TeamID
}

func (wt *waiting) run(ctx context.Context) {
	_, _ = wt.qu.Admit(ctx, request(wt.team, bwmodel.PromptClass))
}
