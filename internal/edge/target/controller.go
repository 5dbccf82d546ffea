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
	// controlUser is the database user that calls the platform's functions.
	controlUser = "ebonywood_control"
	// orderTimeout bounds one order. An order that exceeds it closes its
	// connection, and the next order opens a new one.
	orderTimeout = 150 * time.Millisecond
	// orderBacklog is the number of orders that may be queued for one member.
	orderBacklog = 16
)

// controller executes the orders to one member sequentially over one connection, and
// posts the member's replies to the control loop.
type controller struct {
	edge    *Edge
	address string
	orders  chan ebonywood.MemberOrder
	conn    *pgconn.Conn
	stop    context.CancelFunc
}

func newController(edge *Edge, address string) *controller {
	controller := &controller{edge: edge, address: address, orders: make(chan ebonywood.MemberOrder, orderBacklog)}
	ctx, cancel := context.WithCancel(edge.group.Context())
	controller.stop = cancel
	edge.group.Go(func(context.Context) error { return controller.run(ctx) })
	return controller
}

// enqueue queues an order without blocking. A status order is dropped while other
// orders are queued, since the next status round repeats it; any order is dropped
// when the queue is full.
func (controller *controller) enqueue(order ebonywood.MemberOrder) {
	if order.Order() == ebonywood.OrderStatus && len(controller.orders) > 0 {
		return
	}
	select {
	case controller.orders <- order:
	default:
	}
}

func (controller *controller) run(ctx context.Context) error {
	defer controller.disconnect()
	for {
		select {
		case <-ctx.Done():
			return nil
		case order := <-controller.orders:
			reply := controller.execute(ctx, order)
			if err := controller.edge.port.Post(ctx, reply); err != nil {
				return nil
			}
		}
	}
}

func (controller *controller) disconnect() {
	if controller.conn != nil {
		controller.conn.Close()
		controller.conn = nil
	}
}

// execute runs one order and returns the member's reply. A refusal by the member
// keeps the connection, any other failure closes it.
func (controller *controller) execute(ctx context.Context, order ebonywood.MemberOrder) ebonywood.MemberReply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := controller.edge.port.Clock().Now()
	newConn := controller.conn == nil
	status, err := controller.query(ctx, order)
	if err == nil {
		return ebonywood.NewMemberReply(order, sentAt, newConn, status, nil)
	}
	fault := ebonywood.FaultOf(err)
	if fault.Kind() != ebonywood.KindConflict {
		controller.disconnect()
	}
	return ebonywood.NewMemberReply(order, sentAt, newConn, ebonywood.Status{}, fault)
}

func (controller *controller) query(ctx context.Context, order ebonywood.MemberOrder) (ebonywood.Status, error) {
	if controller.conn == nil {
		conn, err := dialControl(ctx, controller.edge, controller.address)
		if err != nil {
			return ebonywood.Status{}, err
		}
		controller.conn = conn
	}
	return queryStatus(ctx, controller.conn, orderQuery(order, controller.edge.holder))
}

func orderQuery(order ebonywood.MemberOrder, holder string) string {
	switch order.Order() {
	case ebonywood.OrderFence:
		return fmt.Sprintf("SELECT ebonywood_fence(%d, '%s')", order.Term(), holder)
	case ebonywood.OrderPromote:
		return fmt.Sprintf("SELECT ebonywood_promote(%d, '%s')", order.Term(), holder)
	default:
		return statusQuery
	}
}

const statusQuery = "SELECT ebonywood_status()"

func dialControl(ctx context.Context, edge *Edge, address string) (*pgconn.Conn, error) {
	return pgconn.Dial(ctx, address, controlUser, edge.port.Settings().TargetPassword(), "postgres")
}

// queryStatus calls a function of the platform that returns a status. An error
// reported by the server, a fault of KindConflict, means that the member refused the
// call. After any other error, a fault of KindUnavailable, the function may or may not
// have run.
func queryStatus(ctx context.Context, conn *pgconn.Conn, sql string) (ebonywood.Status, error) {
	rows, err := conn.Query(ctx, sql)
	var fault *ebonywood.Fault
	if errors.As(err, &fault) {
		return ebonywood.Status{}, fault
	}
	if err != nil {
		return ebonywood.Status{}, ebonywood.NewFault(ebonywood.KindUnavailable, err.Error(), "retry over a new connection")
	}
	return parseStatus(rows)
}

// statusColumns is the number of columns of ebonywood_status.
const statusColumns = 5

// parseStatus parses the row of ebonywood_status: role, fenced (a term), log_end and
// applied (log positions), upstream_age_ms.
func parseStatus(rows [][]string) (ebonywood.Status, error) {
	if len(rows) != 1 || len(rows[0]) != statusColumns {
		return ebonywood.Status{}, invalidStatus(rows)
	}
	row := rows[0]
	role, roleErr := parseRole(row[0])
	fenced, fencedErr := strconv.ParseUint(row[1], 10, 64)
	logEnd, logEndErr := ebonywood.ParsePosition(row[2])
	applied, appliedErr := ebonywood.ParsePosition(row[3])
	age, ageErr := strconv.ParseInt(row[4], 10, 64)
	if err := errors.Join(roleErr, fencedErr, logEndErr, appliedErr, ageErr); err != nil {
		return ebonywood.Status{}, invalidStatus(rows)
	}
	return ebonywood.NewStatus(role, ebonywood.Term(fenced), logEnd, applied, ebonywood.Millis(age)), nil
}

func parseRole(text string) (ebonywood.Role, error) {
	for _, role := range []ebonywood.Role{ebonywood.RoleReplica, ebonywood.RolePrimary, ebonywood.RoleFormerPrimary} {
		if role.String() == text {
			return role, nil
		}
	}
	return ebonywood.RoleReplica, errors.Newf("unknown role %q", text)
}

func invalidStatus(rows [][]string) error {
	return ebonywood.NewFault(ebonywood.KindUnavailable, fmt.Sprintf("the member returned an invalid status %v", rows),
		"check that the platform's functions are installed as docs/TARGETS.md says")
}
