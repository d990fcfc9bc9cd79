// Package spread balances the load of a service by deciding which slots its
// members hand over to each other. The owner of the slots decides: a member
// compares its load with that of two random peers and offers slots to the less
// loaded one when it carries more (power of two choices). A budget limits the
// moves per minute, hysteresis suppresses moves for small differences, and each
// slot has a cool-down after it has moved. The package does no input or output:
// its input is measurements and the current time, its output is offers.
//
// # Usage
//
//	planner := spread.New(spread.WithMoveBudget(60))
//	if offer, ok := planner.Plan(now, own, rates, peers); ok {
//		send(offer.To(), offer.Slots())
//	}
package spread
