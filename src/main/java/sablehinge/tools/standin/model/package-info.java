/** A model of a server: capacity, queue, warm-up, faults by seed. It decides only. */
package sablehinge.tools.standin.model;
