package main

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
)

// unknownState is the SQLSTATE of an outcome that nobody can tell.
const unknownState = "08007"

// isNotRun reports whether an error proves that the statement was not run.
func isNotRun(err error) bool {
	var refusal *pgconn.PgError
	return errors.As(err, &refusal) && refusal.Code != unknownState
}
