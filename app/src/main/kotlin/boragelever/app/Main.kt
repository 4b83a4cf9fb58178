package boragelever.app

/** Entry point of the `boragelever` program. */
public fun main() {
    println("boragelever 0.1.0")
}
