package site

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// The workspaces of these tests; without leaving the user ghost is in none.
const (
	shopWorkspace  = "\n---\nkind: workspace\nname: storefront\nusers: [shop]\n"
	ghostWorkspace = "\n---\nkind: workspace\nname: kitchen\nusers: [ghost]\n"
)

// publish publishes the objects of the site with workspaces and waits until they are in force.
func (site *Site) publish(t *testing.T, workspaces string) {
	require.NoError(t, site.PublishWith("", workspaces))
	require.Eventually(t, func() bool { return site.Proxy(0).Snapshot().ObjectSet().Generation() == site.generation }, 10*time.Second, time.Millisecond)
}

// connectAs connects a user to a proxy.
func (site *Site) connectAs(proxy int, user string) (*pgx.Conn, error) {
	return pgx.Connect(context.Background(), strings.Replace(site.URL(proxy), "shop@", user+"@", 1))
}

// requireSQLState checks the SQLSTATE of an error.
func requireSQLState(t *testing.T, err error, code string) {
	t.Helper()
	var pgError *pgconn.PgError
	require.True(t, errors.As(err, &pgError), "%v", err)
	require.Equal(t, code, pgError.Code)
}

// TestUserWithoutWorkspaceIsRefused checks that, once there are workspaces, new callers of no
// workspace are refused with SQLSTATE 28000, and that idle sessions of removed users end with
// it. Sessions of other users go on.
func TestUserWithoutWorkspaceIsRefused(t *testing.T) {
	site := start(t, 1)
	ctx := context.Background()
	ghost, err := site.connectAs(0, "ghost")
	require.NoError(t, err, "without workspaces all users are served")
	shop := site.connect(t, 0)
	_, err = ghost.Exec(ctx, "select 'in'")
	require.NoError(t, err)

	site.publish(t, shopWorkspace)
	_, err = site.connectAs(0, "ghost")
	requireSQLState(t, err, "28000")
	var notice error
	require.Eventually(t, func() bool {
		_, notice = ghost.Exec(ctx, "select 'late'")
		return notice != nil
	}, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, ghost.IsClosed, 10*time.Second, 10*time.Millisecond)
	_, err = shop.Exec(ctx, "select 'in'")
	require.NoError(t, err)

	site.publish(t, shopWorkspace+ghostWorkspace)
	again, err := site.connectAs(0, "ghost")
	require.NoError(t, err, "a user that was added again is served")
	require.NoError(t, again.Close(ctx))
}

// TestIdleSessionOfRemovedUserIsTold checks that the proxy itself ends an idle session, and
// with which message.
func TestIdleSessionOfRemovedUserIsTold(t *testing.T) {
	site := start(t, 1)
	ghost, err := site.connectAs(0, "ghost")
	require.NoError(t, err)
	site.publish(t, shopWorkspace)
	socket := ghost.PgConn().Conn()
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(10*time.Second)))
	message := make([]byte, 1024)
	count, err := socket.Read(message)
	require.NoError(t, err)
	require.Equal(t, byte('E'), message[0])
	require.Contains(t, string(message[:count]), "C28000\x00")
	require.Contains(t, string(message[:count]), "SFATAL\x00")
}

// TestRemovedUserKeepsItsTransaction checks that an open transaction of a removed user commits,
// and that its session ends afterwards.
func TestRemovedUserKeepsItsTransaction(t *testing.T) {
	site := start(t, 1)
	ctx := context.Background()
	ghost, err := site.connectAs(0, "ghost")
	require.NoError(t, err)
	tx, err := ghost.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "insert into orders (k, v) values ('removed', 'v')")
	require.NoError(t, err)
	site.publish(t, shopWorkspace)
	_, err = tx.Exec(ctx, "insert into orders (k, v) values ('removed', 'w')")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
	require.ElementsMatch(t, []string{"v", "w"}, site.Member(site.Primary()).Values("removed"))
	_, err = ghost.Exec(ctx, "select 'late'")
	requireSQLState(t, err, "28000")
}
