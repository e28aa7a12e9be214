/** The settings file of a daemon of the mesh (DEPLOY, "What a process is told"), parsed and validated by a schema. */
package sablehinge.common.settings;
