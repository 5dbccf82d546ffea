package main

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
)

// outcomeUnknownState is the SQLSTATE that reports an unknown outcome.
const outcomeUnknownState = "08007"

// isNotRun reports whether an error proves that the statement was not run.
func isNotRun(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code != outcomeUnknownState
}
