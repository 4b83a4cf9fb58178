package boragelever.bench

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.BitmapEncoder.BitmapFormat
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import java.nio.file.Files
import java.nio.file.Path

/** Writes the charts of [measurements] as PNG files into [folder]. */
internal fun writeControlCharts(measurements: ControlMeasurements, folder: Path) {
    System.setProperty("java.awt.headless", "true")
    Files.createDirectories(folder)
    measurements
        .chart("Acceptance to in force on the last node", "ms") { it.changes.applyDelayMicros.maxValue / 1_000.0 }
        .save(folder, "control-convergence.png")
    measurements
        .chart("Control bytes of a node on an ordinary day", "B/s") { it.costs().dailyBytesPerSecond / it.size.nodes }
        .save(folder, "control-bytes.png")
    measurements
        .chart("Reads of the store, idle", "reads/s") { it.idle.store.reads / it.idle.seconds }
        .save(folder, "control-store-reads.png")
}

private fun ControlMeasurements.chart(title: String, unit: String, value: (ControlResult) -> Double): XYChart {
    val chart = XYChartBuilder().width(640).height(400).title(title).xAxisTitle("nodes").yAxisTitle(unit).build()
    chart.styler.isXAxisLogarithmic = true
    chart.styler.isYAxisLogarithmic = true
    PROFILES.forEach { profile ->
        val rows = results.filter { it.profile == profile }
        val nodes = rows.map { it.size.nodes.toDouble() }.toDoubleArray()
        chart.addSeries(profile.name.lowercase(), nodes, rows.map(value).toDoubleArray())
    }
    return chart
}

private fun XYChart.save(folder: Path, name: String) {
    BitmapEncoder.saveBitmap(this, folder.resolve(name).toString(), BitmapFormat.PNG)
}
