package bwroute_test

import (
	"fmt"
	"testing"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
)

var sizes = []int{20, 100, 300, 1000, 3000}

func BenchmarkChoose(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			benchmarkChoose(b, newChooser(b, bwroute.LeastCost(), size, 64), request(200))
		})
	}
}

func BenchmarkChoosePrefix(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			chs := newChooser(b, bwroute.LeastCost(), size, 64)
			req := request(200)
			for idx := range 64 {
				req.Prefix = append(req.Prefix, uint64(5000+idx))
			}
			for up := range size / 4 {
				st := connected(name(up))
				for idx, block := range req.Prefix {
					st.Cache = append(st.Cache, bwmodel.CacheEvent{Sequence: uint64(idx + 1), Block: block})
				}
				chs.Observe(st)
			}
			benchmarkChoose(b, chs, req)
		})
	}
}

func BenchmarkChooseBaseline(b *testing.B) {
	for _, pol := range policies()[1:] {
		b.Run(pol.Name, func(b *testing.B) {
			benchmarkChoose(b, newChooser(b, pol, 20, 64), request(200))
		})
	}
}

func BenchmarkChooseParallel(b *testing.B) {
	chs := newChooser(b, bwroute.LeastCost(), 20, 64)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if chc, _, err := chs.Choose(request(200)); err == nil {
				chc.Finish(bwroute.Outcome{Refused: true})
			}
		}
	})
}

// BenchmarkObserve applies one report of one of 20 or more upstreams.
func BenchmarkObserve(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			chs := newChooser(b, bwroute.LeastCost(), size, 64)
			st := connected(name(1))
			b.ReportAllocs()
			for b.Loop() {
				chs.Observe(st)
			}
		})
	}
}

func BenchmarkRefresh(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			chs := newChooser(b, bwroute.LeastCost(), size, 64)
			b.ReportAllocs()
			for b.Loop() {
				chs.Refresh()
			}
		})
	}
}

func benchmarkChoose(b *testing.B, chs *bwroute.Chooser, req bwroute.Request) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		chc, _, err := chs.Choose(req)
		if err != nil {
			b.Fatal(err)
		}
		chc.Finish(bwroute.Outcome{Refused: true})
	}
}
