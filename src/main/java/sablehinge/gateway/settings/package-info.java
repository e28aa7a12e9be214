/** The text form of the decision module's settings, which the platform's file and the simulator share. */
package sablehinge.gateway.settings;
