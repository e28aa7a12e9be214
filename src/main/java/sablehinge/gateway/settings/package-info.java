/** The text format of the decision module's settings, used by both the platform's file and the simulator. */
package sablehinge.gateway.settings;
