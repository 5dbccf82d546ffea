package succession

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
)

// TestLeavingPrimaryIsUsedForItsDrainPeriod checks the time from which a leaving primary
// gets no new work: it counts from the last moment at which it was known not to be leaving.
func TestLeavingPrimaryIsUsedForItsDrainPeriod(t *testing.T) {
	const period ebonywood.Millis = 7000
	driver := newDriver(t)
	driver.decision.memberDrainPeriod = period
	require.Zero(t, driver.view().PrimaryUntil())
	driver.send(ebonywood.NewConfigurationConfirmed(900))
	driver.leave()
	until := 900 + period - drainMargin
	require.Equal(t, until, driver.view().PrimaryUntil())
	driver.send(ebonywood.NewConfigurationConfirmed(2000))
	driver.leave()
	require.Equal(t, until, driver.view().PrimaryUntil(), "a later list does not extend it")
	require.True(t, driver.view().AcceptsWork(until-1))
	require.False(t, driver.view().AcceptsWork(until))
	require.Equal(t, first, driver.view().Primary(), "its samples are still needed")
	driver.send(ebonywood.NewMembersListed([]ebonywood.ListedMember{listed(first, false), listed(second, false), listed(third, false)}))
	require.Zero(t, driver.view().PrimaryUntil(), "it is not leaving any more")
	driver.observe(second, 2, 1)
	require.Zero(t, driver.view().PrimaryUntil())
}

// TestPrimaryThatLeftBeforeTheStart checks that a process gives no new work to a primary of
// whose drain it does not know the start.
func TestPrimaryThatLeftBeforeTheStart(t *testing.T) {
	driver := newDriver(t)
	driver.decision.memberDrainPeriod = 7000
	driver.leave()
	require.False(t, driver.view().AcceptsWork(driver.now))
}
