package org.celerywalk.cli

import com.github.ajalt.clikt.core.main

/** Runs the `celerywalk` command. */
public fun main(arguments: Array<String>): Unit = celerywalk().main(arguments)
