/** The settings file of a mesh's daemon (DEPLOY, "What a process is told"), parsed and checked by a schema. */
package sablehinge.common.settings;
