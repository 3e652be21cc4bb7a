// Package lease decides which process holds a duty, from records on the log.
//
// A Book folds the records of a stream; it uses the times of the records and
// no other clock, so that all processes agree. The number of a lease is the
// offset of the record that won it. It rises from holder to holder and serves
// as fencing number.
//
// The holder's own view ends before another process can win:
//
//   - Another process wins when the record time of its Acquire is more than
//     Duration + Margin after that of the holder's last folded record.
//   - The holder stops Duration after the time that it took from its own
//     monotonic clock before it sent that record. The log accepted the record
//     later than that, however late the append or its answer came.
//   - So the order holds while the rates of the two clocks differ by less
//     than Margin / Duration. The offset between the clocks does not matter.
//
// The check and the order that follows it are two steps, and some clocks
// stand still while a machine is suspended. An order can therefore still
// arrive late; fencing numbers and the next holder's reconciliation are for
// that.
package lease
