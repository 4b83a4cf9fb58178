package boragelever.app

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import org.slf4j.LoggerFactory
import java.util.logging.Handler
import java.util.logging.LogRecord

private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %thread %msg%n"

/** Sends log lines to standard error in the form that [settings] ask for. */
internal fun configureLogging(settings: LogSettings) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.setTarget("System.err")
    appender.encoder = encoder(settings.format, context)
    appender.start()
    context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.WARN
        addAppender(appender)
    }
    context.getLogger("boragelever").level =
        when (settings.level) {
            LogLevel.DEBUG -> Level.DEBUG
            LogLevel.INFO -> Level.INFO
            LogLevel.WARN -> Level.WARN
            LogLevel.ERROR -> Level.ERROR
        }
    ExporterLog.install()
}

/** Passes on what the span exporter logs, without its stack traces. */
private object ExporterLog : Handler() {
    private val log = LoggerFactory.getLogger("boragelever.traces")

    /** The JDK keeps loggers by weak references only. */
    private val source = java.util.logging.Logger.getLogger("io.opentelemetry")

    fun install() {
        source.useParentHandlers = false
        if (this !in source.handlers) source.addHandler(this)
    }

    override fun publish(record: LogRecord) {
        log.warn("[node] spans: {}", record.message)
    }

    override fun flush() = Unit

    override fun close() = Unit
}

private fun encoder(format: OutputFormat, context: LoggerContext): Encoder<ILoggingEvent> =
    when (format) {
        OutputFormat.TEXT -> PatternLayoutEncoder().apply { pattern = TEXT_PATTERN }
        OutputFormat.JSON -> JsonEncoder()
    }.apply {
        this.context = context
        start()
    }
