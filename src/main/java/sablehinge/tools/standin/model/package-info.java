/** A model of a server: capacity, queue, warm-up and seeded faults. It has no threads and does no input or output. */
package sablehinge.tools.standin.model;
