// Package lease decides which process holds a duty, from records on the log. A
// duty is a task that one process at a time carries out by giving orders, for
// example to start a VM.
//
// A State applies the records of a stream; it uses the times of the records and
// no other clock, so that all processes agree. The number of a lease is the
// offset of the record that won it. It increases from holder to holder and
// serves as fencing token.
//
// The holder considers its lease expired before another process can win:
//
//   - Another process wins when the record time of its Acquire is more than
//     Duration + Margin after the record time of the holder's last applied record.
//   - The holder reads its own monotonic clock before it sends that record, and
//     stops Duration after this reading. The log accepted the record after the
//     reading, however long the append or its response was delayed.
//   - So the holder stops first as long as the rates of the two clocks differ
//     by less than Margin / Duration. The offset between the clocks does not
//     matter.
//
// The check of the lease and the order that follows it are not atomic, and some
// clocks stop while a machine is suspended. An order can therefore still arrive
// late; fencing tokens and the reconciliation by the next holder cover that
// case.
package lease
