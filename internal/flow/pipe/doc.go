// Package pipe defines the job that flows through the filters, and the pipeline that runs them.
package pipe
