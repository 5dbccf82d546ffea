package command

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/ebonywood/ebonywood"
)

// isOutcomeUnknown reports whether a statement may or may not have run: the
// server sent no error response, or one with the SQLSTATE of KindUnknown.
func isOutcomeUnknown(err error) bool {
	var pgError *pgconn.PgError
	return !errors.As(err, &pgError) || pgError.Code == ebonywood.KindUnknown.SQLState()
}
