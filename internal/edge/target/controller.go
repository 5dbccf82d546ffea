package target

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/pgconn"
)

const (
	// controlUser is the database user for the platform's functions.
	controlUser = "ebonywood_control"
	// orderLimit bounds one order. An order that passes it closes its connection,
	// so the next one asks over a fresh one.
	orderLimit   = 150 * time.Millisecond
	orderBacklog = 16
)

// controller carries out the orders to one member, one after another.
type controller struct {
	edge    *Edge
	address string
	orders  chan ebonywood.MemberOrder
	conn    *pgconn.Conn
	stop    context.CancelFunc
}

func newController(edge *Edge, address string) *controller {
	control := &controller{edge: edge, address: address, orders: make(chan ebonywood.MemberOrder, orderBacklog)}
	ctx, cancel := context.WithCancel(edge.group.Context())
	control.stop = cancel
	edge.group.Go(func(context.Context) error { return control.run(ctx) })
	return control
}

// accept takes an order without blocking. A status question gives way while
// others wait: the next round asks again.
func (control *controller) accept(order ebonywood.MemberOrder) {
	if order.Order() == ebonywood.OrderStatus && len(control.orders) > 0 {
		return
	}
	select {
	case control.orders <- order:
	default:
	}
}

func (control *controller) run(ctx context.Context) error {
	defer control.drop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case order := <-control.orders:
			reply := control.carryOut(ctx, order)
			if err := control.edge.port.Post(ctx, reply); err != nil {
				return nil
			}
		}
	}
}

func (control *controller) drop() {
	if control.conn != nil {
		control.conn.Close()
		control.conn = nil
	}
}

func (control *controller) carryOut(ctx context.Context, order ebonywood.MemberOrder) ebonywood.MemberReply {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	asked := control.edge.port.Clock().Now()
	fresh := control.conn == nil
	status, err := control.ask(ctx, order)
	if err == nil {
		return ebonywood.NewMemberReply(order, asked, fresh, status, nil)
	}
	fault := ebonywood.FaultOf(err)
	if fault.Kind() != ebonywood.KindConflict {
		control.drop()
	}
	return ebonywood.NewMemberReply(order, asked, fresh, ebonywood.Status{}, fault)
}

func (control *controller) ask(ctx context.Context, order ebonywood.MemberOrder) (ebonywood.Status, error) {
	if control.conn == nil {
		conn, err := dialControl(ctx, control.edge, control.address)
		if err != nil {
			return ebonywood.Status{}, err
		}
		control.conn = conn
	}
	return queryStatus(ctx, control.conn, orderText(order, control.edge.holder))
}

func orderText(order ebonywood.MemberOrder, holder string) string {
	switch order.Order() {
	case ebonywood.OrderFence:
		return fmt.Sprintf("SELECT ebonywood_fence(%d, '%s')", order.Term(), holder)
	case ebonywood.OrderPromote:
		return fmt.Sprintf("SELECT ebonywood_promote(%d, '%s')", order.Term(), holder)
	default:
		return statusText
	}
}

const statusText = "SELECT ebonywood_status()"

func dialControl(ctx context.Context, edge *Edge, address string) (*pgconn.Conn, error) {
	return pgconn.Dial(ctx, address, controlUser, edge.port.Settings().TargetPassword(), "postgres")
}

// queryStatus runs a function of the platform. An error of the server is a
// refusal; any other error leaves open whether the function ran.
func queryStatus(ctx context.Context, conn *pgconn.Conn, sql string) (ebonywood.Status, error) {
	rows, err := conn.Query(ctx, sql)
	var fault *ebonywood.Fault
	if errors.As(err, &fault) {
		return ebonywood.Status{}, fault
	}
	if err != nil {
		return ebonywood.Status{}, ebonywood.NewFault(ebonywood.KindUnavailable, err.Error(), "ask again over a fresh connection")
	}
	return parseStatus(rows)
}

const statusColumns = 5

// parseStatus reads the row of ebonywood_status: role, fenced, log_end, applied,
// upstream_age_ms.
func parseStatus(rows [][]string) (ebonywood.Status, error) {
	if len(rows) != 1 || len(rows[0]) != statusColumns {
		return ebonywood.Status{}, badStatus(rows)
	}
	row := rows[0]
	role, roleErr := parseRole(row[0])
	fenced, fencedErr := strconv.ParseUint(row[1], 10, 64)
	end, endErr := ebonywood.ParsePosition(row[2])
	applied, appliedErr := ebonywood.ParsePosition(row[3])
	age, ageErr := strconv.ParseInt(row[4], 10, 64)
	if err := errors.Join(roleErr, fencedErr, endErr, appliedErr, ageErr); err != nil {
		return ebonywood.Status{}, badStatus(rows)
	}
	return ebonywood.NewStatus(role, ebonywood.Term(fenced), end, applied, ebonywood.Millis(age)), nil
}

func parseRole(text string) (ebonywood.Role, error) {
	for _, role := range []ebonywood.Role{ebonywood.RoleReplica, ebonywood.RolePrimary, ebonywood.RoleFormerPrimary} {
		if role.String() == text {
			return role, nil
		}
	}
	return ebonywood.RoleReplica, errors.Newf("unknown role %q", text)
}

func badStatus(rows [][]string) error {
	return ebonywood.NewFault(ebonywood.KindUnavailable, fmt.Sprintf("the member's status %v can't be read", rows),
		"check that the platform's functions are installed as docs/TARGETS.md says")
}
