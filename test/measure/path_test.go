package main

import (
	"context"
	"testing"

	"github.com/ebonywood/ebonywood/internal/site"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

func BenchmarkRead(b *testing.B) {
	deployment, err := site.Start(context.Background(), 1, "", func(member *targetserver.Server) { member.SetLimits(64, 128) })
	if err != nil {
		b.Fatal(err)
	}
	defer deployment.Stop()
	b.ResetTimer()
	got, err := drive(context.Background(), deployment.URL(0), 8, pathSpan*2, "select v from orders where k = $1", "k")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(got.rate, "statements/s")
}
