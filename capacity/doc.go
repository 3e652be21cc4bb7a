// Package capacity estimates from samples how fast each runner of a service is, and with how many
// requests it slows down. It performs no I/O.
//
// A sample is the time that a runner took for a piece of work. Its residual is the logarithm of that
// time in relation to the time that is typical of the service for work of that kind and size at that
// load. Residuals are collected for each runner in intervals of time, own ones and those that other daemons
// report, and the speed follows from those of the last intervals that are near their median, so that a
// short disturbance has little effect. Speeds are relative to the median over the runners of a service.
package capacity
