package command

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/ebonywood/ebonywood"
)

// isOutcomeUnknown reports whether an error leaves open if a statement was run.
func isOutcomeUnknown(err error) bool {
	var refusal *pgconn.PgError
	return !errors.As(err, &refusal) || refusal.Code == ebonywood.KindUnknown.SQLState()
}
