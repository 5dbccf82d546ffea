package main

import (
	"context"
	"testing"

	"github.com/ebonywood/ebonywood/internal/site"
	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

// BenchmarkRead measures reads of eight callers through one proxy. The duration is
// fixed, whatever b.N is.
func BenchmarkRead(b *testing.B) {
	deployment, err := site.Start(context.Background(), 1, "", func(member *targetserver.Server) { member.SetLimits(64, 128) })
	if err != nil {
		b.Fatal(err)
	}
	defer deployment.Stop()
	b.ResetTimer()
	result, err := runCallers(context.Background(), deployment.URL(0), 8, pathDuration*2, "select v from orders where k = $1", "k")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(result.rate, "statements/s")
}
